package dev

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"almondrock.example/almondrock/pkg/control"
	"almondrock.example/almondrock/pkg/host"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
)

// Sizes of a deployment.
const (
	// With defaultHostsPerDataCentre hosts, the group of a data centre keeps its majority when one host is lost.
	defaultHostsPerDataCentre = 3
	// controlGroupSize is the number of members of the control group, which keeps its majority when one is lost.
	controlGroupSize = 3
)

// Options configure a deployment.
type Options struct {
	// Listen and Admin are the addresses that the first host listens on; free loopback ports when empty.
	Listen, Admin string
	// DataDir contains the data directories of the control group's members; a temporary directory when empty.
	DataDir string
	// InitialSubmission is the configuration to start with. Its data centres get hosts and its services get targets.
	InitialSubmission *schemav1.Submission
	// Configuration is the merged configuration of InitialSubmission.
	Configuration *schemav1.Configuration
	// Targets is the number of stand-in targets by service. They are spread over the data centres.
	Targets map[string]int
	// Slots and MaxConnections are the limits of each target.
	Slots, MaxConnections uint32
	// Faults are the initial faults of each target.
	Faults standin.Faults
	// HostsPerDataCentre is the number of hosts in each data centre; 3 when 0.
	HostsPerDataCentre int
	LogDecisions       bool
	SubmissionCheck    control.SubmissionCheck
	// EditHost and EditTarget may change the options of each host or target before its start. Both are optional.
	EditHost   func(*host.Options)
	EditTarget func(*standin.Options)
}

// Deployment is a running deployment.
type Deployment struct {
	hosts   []*host.Host
	targets []*standin.Server
	tempDir string
}

// DirectoryError reports that a data directory can't be created.
type DirectoryError struct {
	Err error
}

// Error implements error.
func (e *DirectoryError) Error() string { return "cannot create the data directory: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DirectoryError) Unwrap() error { return e.Err }

// Start starts a deployment. It does not wait until the deployment is ready.
func Start(options Options) (*Deployment, error) {
	d := &Deployment{}
	if options.DataDir == "" {
		dir, err := os.MkdirTemp("", "almondrock-dev-")
		if err != nil {
			return nil, &DirectoryError{Err: err}
		}
		d.tempDir, options.DataDir = dir, dir
	}
	if err := d.start(options); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(options Options) error {
	hostOptions, err := prepareHosts(options)
	if err != nil {
		return err
	}
	for i := range hostOptions {
		if options.EditHost != nil {
			options.EditHost(&hostOptions[i])
		}
		started, err := host.New(hostOptions[i])
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, started)
	}
	for _, started := range d.hosts {
		started.Start()
	}
	return d.startTargets(options)
}

// prepareHosts opens the listeners of all hosts and returns the hosts' options. No host can start before all listeners are
// open, because the addresses of the control group's members are settings of every host.
func prepareHosts(options Options) ([]host.Options, error) {
	perDataCentre := cmp.Or(options.HostsPerDataCentre, defaultHostsPerDataCentre)
	var hostOptions []host.Options
	var seeds []string
	for i := range perDataCentre {
		for _, dataCentre := range options.Configuration.GetDataCentres() {
			settings := &schemav1.HostSettings{
				Name:         fmt.Sprintf("%s-%d", dataCentre.GetName(), i+1),
				DataCentre:   dataCentre.GetName(),
				Region:       dataCentre.GetRegion(),
				LogDecisions: options.LogDecisions,
				// All hosts share this process and listen on loopback.
				Insecure: true,
				Listen:   anyLoopbackPort, Data: anyLoopbackPort, Rpc: anyLoopbackPort, Admin: anyLoopbackPort,
			}
			if len(hostOptions) == 0 {
				settings.Listen, settings.Admin = cmp.Or(options.Listen, anyLoopbackPort), cmp.Or(options.Admin, anyLoopbackPort)
			}
			if len(seeds) < controlGroupSize {
				settings.DataDir = filepath.Join(options.DataDir, settings.GetName())
				settings.Rpc = loadAddress(settings.GetDataDir())
			}
			listeners, err := host.Listen(settings)
			if err == nil && settings.GetDataDir() != "" {
				err = saveAddress(settings.GetDataDir(), listeners.RPC.Addr().String())
				seeds = append(seeds, settings.GetName()+"="+listeners.RPC.Addr().String())
			}
			if err != nil {
				closeListeners(hostOptions)
				return nil, err
			}
			hostOptions = append(hostOptions, host.Options{
				Settings: settings, Listeners: listeners, SubmissionCheck: options.SubmissionCheck, InitialSubmission: options.InitialSubmission,
			})
		}
	}
	for _, prepared := range hostOptions {
		prepared.Settings.Seeds = strings.Join(seeds, ",")
	}
	return hostOptions, nil
}

// anyLoopbackPort lets the operating system choose a free port.
const anyLoopbackPort = "127.0.0.1:0"

// addressFile contains the RPC address of a member of the control group and is in its data directory. The group's log
// identifies the members by address, so a deployment that is restarted from its data directories must use the same ones.
const addressFile = "rpc-address"

// loadAddress returns the RPC address that the host with this data directory had before, or any free port if there is none.
func loadAddress(dir string) string {
	content, err := os.ReadFile(filepath.Join(dir, addressFile))
	if err != nil {
		return anyLoopbackPort
	}
	return string(content)
}

func saveAddress(dir, address string) error {
	err := os.MkdirAll(dir, 0o755)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, addressFile), []byte(address), 0o644)
	}
	if err != nil {
		return &DirectoryError{Err: err}
	}
	return nil
}

func closeListeners(hostOptions []host.Options) {
	for _, options := range hostOptions {
		options.Listeners.Close()
	}
}

// startTargets spreads the targets of each service over the data centres of its home regions.
func (d *Deployment) startTargets(options Options) error {
	for _, service := range options.Configuration.GetServices() {
		dataCentres := homeDataCentres(options.Configuration, service)
		for i := range options.Targets[service.GetName()] {
			dataCentre := dataCentres[i%len(dataCentres)]
			target, err := startTarget(options, standin.Options{
				Name:           fmt.Sprintf("%s-%d", service.GetName(), i+1),
				Service:        service.GetName(),
				DataCentre:     dataCentre.GetName(),
				Hosts:          d.callerAddresses(dataCentre.GetName()),
				Slots:          options.Slots,
				MaxConnections: options.MaxConnections,
				Faults:         options.Faults,
			})
			if err != nil {
				return err
			}
			d.targets = append(d.targets, target)
		}
	}
	return nil
}

func startTarget(options Options, targetOptions standin.Options) (*standin.Server, error) {
	if options.EditTarget != nil {
		options.EditTarget(&targetOptions)
	}
	return standin.Start(targetOptions)
}

// homeDataCentres returns the data centres in the home regions of a service; all data centres if it has none.
func homeDataCentres(configuration *schemav1.Configuration, service *schemav1.Service) []*schemav1.DataCentre {
	var dataCentres []*schemav1.DataCentre
	for _, dataCentre := range configuration.GetDataCentres() {
		homeRegions := service.GetHomeRegions()
		if len(homeRegions) == 0 || slices.Contains(homeRegions, dataCentre.GetRegion()) {
			dataCentres = append(dataCentres, dataCentre)
		}
	}
	return dataCentres
}

func (d *Deployment) callerAddresses(dataCentre string) []string {
	var list []string
	for _, h := range d.hosts {
		if h.DataCentre() == dataCentre {
			list = append(list, h.CallerAddress())
		}
	}
	return list
}

// Hosts returns the hosts. The first one listens on Options.Listen and Options.Admin.
func (d *Deployment) Hosts() []*host.Host { return d.hosts }

// Targets returns the stand-in targets.
func (d *Deployment) Targets() []*standin.Server { return d.targets }

// Ready reports whether every host is ready and every shard has an owner.
func (d *Deployment) Ready() bool {
	return !slices.ContainsFunc(d.hosts, func(h *host.Host) bool { return !h.Ready().OK || !h.ServesAllKeys() })
}

// Stop stops all hosts gracefully, then the targets. It returns ctx's error if requests in flight were interrupted.
func (d *Deployment) Stop(ctx context.Context) error {
	var wait sync.WaitGroup
	results := make([]error, len(d.hosts))
	for i, h := range d.hosts {
		wait.Go(func() { results[i] = h.Stop(ctx) })
	}
	wait.Wait()
	d.stopTargets()
	return errors.Join(results...)
}

// Kill stops all hosts and targets at once, without a graceful shutdown.
func (d *Deployment) Kill() {
	var wait sync.WaitGroup
	for _, h := range d.hosts {
		wait.Go(h.Kill)
	}
	wait.Wait()
	d.stopTargets()
}

func (d *Deployment) stopTargets() {
	for _, target := range d.targets {
		target.Close()
	}
	if d.tempDir != "" {
		os.RemoveAll(d.tempDir)
	}
}
