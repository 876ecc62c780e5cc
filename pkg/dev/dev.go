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

// Sizes of the deployment.
const (
	// defaultHostsPerDataCentre lets each data centre lose one host and keep its majority.
	defaultHostsPerDataCentre = 3
	// controlMembers is the size of the control group; it survives one loss.
	controlMembers = 3
)

// Options configure a deployment.
type Options struct {
	// Listen and Admin are the addresses of the first host; free ports when empty.
	Listen, Admin string
	// DataDir holds the data folders of the control group; a temporary folder when empty.
	DataDir string
	// InitialSubmission is the configuration to start with; its data centres and services shape the deployment.
	InitialSubmission *schemav1.Submission
	// Configuration is First merged.
	Configuration *schemav1.Configuration
	// Targets is the number of stand-in targets by service, spread over the data centres.
	Targets map[string]int
	// Slots and MaxConnections are those of each target.
	Slots, MaxConnections uint32
	// Faults are the targets' faults.
	Faults standin.Faults
	// HostsPerDataCentre is 3 when 0.
	HostsPerDataCentre int
	LogDecisions       bool
	SubmissionCheck    control.SubmissionCheck
	// EditHost and EditTarget change the options of a host or a target before its start; nil changes nothing.
	EditHost   func(*host.Options)
	EditTarget func(*standin.Options)
}

// Deployment is a running deployment.
type Deployment struct {
	hosts     []*host.Host
	targets   []*standin.Server
	temporary string
}

// DirectoryError reports a data folder that cannot be made.
type DirectoryError struct {
	Err error
}

// Error implements error.
func (e *DirectoryError) Error() string { return "cannot make the data folder: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DirectoryError) Unwrap() error { return e.Err }

// Start starts the deployment. It does not wait until it is ready.
func Start(options Options) (*Deployment, error) {
	d := &Deployment{}
	if options.DataDir == "" {
		folder, err := os.MkdirTemp("", "almondrock-dev-")
		if err != nil {
			return nil, &DirectoryError{Err: err}
		}
		d.temporary, options.DataDir = folder, folder
	}
	if err := d.start(options); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(options Options) error {
	plans, err := planHosts(options)
	if err != nil {
		return err
	}
	for i := range plans {
		if options.EditHost != nil {
			options.EditHost(&plans[i])
		}
		started, err := host.New(plans[i])
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

// planHosts opens the listeners of all hosts first, since the addresses of the control group's members are settings
// of all of them.
func planHosts(options Options) ([]host.Options, error) {
	perDataCentre := cmp.Or(options.HostsPerDataCentre, defaultHostsPerDataCentre)
	var plans []host.Options
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
				Listen:   loopbackAny, Data: loopbackAny, Rpc: loopbackAny, Admin: loopbackAny,
			}
			if len(plans) == 0 {
				settings.Listen, settings.Admin = cmp.Or(options.Listen, loopbackAny), cmp.Or(options.Admin, loopbackAny)
			}
			if len(seeds) < controlMembers {
				settings.DataDir = filepath.Join(options.DataDir, settings.GetName())
				settings.Rpc = rememberedAddress(settings.GetDataDir())
			}
			listeners, err := host.Listen(settings)
			if err == nil && settings.GetDataDir() != "" {
				err = rememberAddress(settings.GetDataDir(), listeners.RPC.Addr().String())
				seeds = append(seeds, settings.GetName()+"="+listeners.RPC.Addr().String())
			}
			if err != nil {
				closeAll(plans)
				return nil, err
			}
			plans = append(plans, host.Options{
				Settings: settings, Listeners: listeners, SubmissionCheck: options.SubmissionCheck, InitialSubmission: options.InitialSubmission,
			})
		}
	}
	for _, plan := range plans {
		plan.Settings.Seeds = strings.Join(seeds, ",")
	}
	return plans, nil
}

// loopbackAny is any free port.
const loopbackAny = "127.0.0.1:0"

// addressFile is in the data folder of each member of the control group. The group's log names its members by address,
// so a deployment that starts again from its folders must listen where it did before.
const addressFile = "rpc-address"

func rememberedAddress(folder string) string {
	content, err := os.ReadFile(filepath.Join(folder, addressFile))
	if err != nil {
		return loopbackAny
	}
	return string(content)
}

func rememberAddress(folder, address string) error {
	err := os.MkdirAll(folder, 0o755)
	if err == nil {
		err = os.WriteFile(filepath.Join(folder, addressFile), []byte(address), 0o644)
	}
	if err != nil {
		return &DirectoryError{Err: err}
	}
	return nil
}

func closeAll(plans []host.Options) {
	for _, plan := range plans {
		plan.Listeners.Close()
	}
}

// startTargets spreads the targets of each service over the data centres of its home regions.
func (d *Deployment) startTargets(options Options) error {
	for _, service := range options.Configuration.GetServices() {
		sites := sitesOf(options.Configuration, service)
		for i := range options.Targets[service.GetName()] {
			site := sites[i%len(sites)]
			target, err := startTarget(options, standin.Options{
				Name:           fmt.Sprintf("%s-%d", service.GetName(), i+1),
				Service:        service.GetName(),
				DataCentre:     site.GetName(),
				Hosts:          d.callerAddresses(site.GetName()),
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

func startTarget(options Options, plan standin.Options) (*standin.Server, error) {
	if options.EditTarget != nil {
		options.EditTarget(&plan)
	}
	return standin.Start(plan)
}

func sitesOf(configuration *schemav1.Configuration, service *schemav1.Service) []*schemav1.DataCentre {
	var sites []*schemav1.DataCentre
	for _, dataCentre := range configuration.GetDataCentres() {
		home := service.GetHomeRegions()
		if len(home) == 0 || slices.Contains(home, dataCentre.GetRegion()) {
			sites = append(sites, dataCentre)
		}
	}
	return sites
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

// Hosts returns the hosts; the first one listens on the addresses of the options.
func (d *Deployment) Hosts() []*host.Host { return d.hosts }

// Targets returns the stand-in targets.
func (d *Deployment) Targets() []*standin.Server { return d.targets }

// Ready reports whether every host is ready and every shard has an owner.
func (d *Deployment) Ready() bool {
	return !slices.ContainsFunc(d.hosts, func(h *host.Host) bool { return !h.Ready().OK || !h.ServesAllKeys() })
}

// Stop stops all hosts gracefully, then the targets. It returns ctx's error when work in flight was cut off.
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

// Kill stops everything at once.
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
	if d.temporary != "" {
		os.RemoveAll(d.temporary)
	}
}
