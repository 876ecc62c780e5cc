package dev

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/host"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
)

func TestDev(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dev")
}

func TestMain(m *testing.M) {
	flag.Parse()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// configurationFile is the base file of the deployment under test.
const configurationFile = `
regions: [{name: seoul, link_mbit: 30}, {name: busan, link_mbit: 30}]
data_centres:
  - {name: seoul-gangnam, region: seoul}
  - {name: seoul-mapo, region: seoul}
  - {name: busan-haeundae, region: busan}
  - {name: busan-seomyeon, region: busan}
tenants:
  - {name: hanbok-seoul, home_regions: [seoul]}
  - {name: gown-busan, home_regions: [busan]}
classes:
  - {name: interactive, deadline_ms: 4000}
services:
  - name: desk
    kind: exclusive
    shards: 16
    on_partition: hold
    routes: [{path_prefix: /, class: interactive}]
`

// The timeout is long, so that the tests don't depend on the speed of the machine.
const (
	eventuallyTimeout = 30 * time.Second
	pollInterval      = 50 * time.Millisecond
)

// system is a deployment under test, with the simulated network between its processes.
type system struct {
	*Deployment
	network *network
	// hostOptions are the options of each host by name, before network intercepted its connections.
	hostOptions map[string]host.Options
	// clockStart is the origin of the targets' clocks.
	clockStart time.Time

	mu sync.Mutex
	// down marks hosts, by name, to which no requests are sent.
	down map[string]bool
}

func submission(id string, basedOn uint64, overlays ...string) *schemav1.Submission {
	s := &schemav1.Submission{
		Id: id, Operator: "operator-" + id, BasedOn: basedOn,
		Base: &schemav1.SourceFile{Name: "base.yaml", Content: []byte(configurationFile)},
	}
	for _, overlay := range overlays {
		name := strings.Fields(overlay)[1]
		s.Overlays = append(s.Overlays, &schemav1.SourceFile{Name: "overlays/" + name + ".yaml", Content: []byte(overlay)})
	}
	return s
}

// startSystem starts a deployment with its data in dataDir. It does not wait until the deployment is ready.
func startSystem(dataDir string, hosts int) (*system, error) {
	first := submission("first", 0)
	configuration, problems := config.CheckSubmission(nil, first)
	if len(problems) > 0 {
		return nil, fmt.Errorf("files refused: %v", problems)
	}
	s := &system{network: newNetwork(), hostOptions: map[string]host.Options{}, down: map[string]bool{}, clockStart: time.Now().Add(-time.Second)}
	deployment, err := Start(Options{
		HostsPerDataCentre: hosts, DataDir: dataDir, InitialSubmission: first, Configuration: configuration, Targets: map[string]int{"desk": 8},
		Slots: 4, MaxConnections: 64, Faults: standin.Faults{ServiceTime: 2 * time.Millisecond}, SubmissionCheck: config.CheckSubmission,
		EditHost: func(options *host.Options) {
			options.Handover = true
			s.hostOptions[options.Settings.GetName()] = *options
			s.network.intercept(options)
		},
		EditTarget: func(options *standin.Options) {
			// All targets use the same clock, so that their executions can be ordered.
			options.Clock = func() time.Duration { return time.Since(s.clockStart) }
		},
	})
	if err != nil {
		return nil, err
	}
	s.Deployment = deployment
	for _, t := range deployment.targets {
		s.network.registerAddress(t.Address(), t.Name())
	}
	return s, nil
}

// newSystem starts a deployment for the current spec and waits until every key is served.
func newSystem() *system {
	s, err := startSystem(GinkgoT().TempDir(), defaultHostsPerDataCentre)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		s.network.setPartition(nil)
		for _, h := range s.hosts {
			s.network.pause(h.Name(), false)
		}
		s.Kill()
	})
	s.awaitAllServed()
	return s
}

// probeCount is the number of keys that checkServed tries. With 16 shards, these keys hit all shards with high probability.
const probeCount = 64

// checkServed sends one request per key, using the live hosts in turn. It returns an error for the first that is not served.
func (s *system) checkServed(client *http.Client) error {
	hosts := s.liveHosts()
	for i := range probeCount {
		o := &operation{key: fmt.Sprintf("probe-%d", i), method: http.MethodGet, path: "/probe"}
		h := hosts[i%len(hosts)]
		if r := send(client, h.CallerAddress(), o); !r.served() {
			return fmt.Errorf("%s by %s: %s", o.key, h.Name(), formatResults([]sendResult{r}))
		}
	}
	return nil
}

func (s *system) awaitAllServed() {
	GinkgoHelper()
	client := newClient()
	defer client.CloseIdleConnections()
	Eventually(func() error { return s.checkServed(client) }, eventuallyTimeout, pollInterval).Should(Succeed(), func() string {
		return protojson.MarshalOptions{Multiline: true}.Format(s.status())
	})
}

// liveHosts returns the hosts that are not marked as down.
func (s *system) liveHosts() []*host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host.Host) bool { return s.down[h.Name()] })
}

func (s *system) host(name string) *host.Host {
	i := slices.IndexFunc(s.hosts, func(h *host.Host) bool { return h.Name() == name })
	return s.hosts[i]
}

func (s *system) randomCallerAddress(random *rand.Rand) string {
	hosts := s.liveHosts()
	return hosts[random.IntN(len(hosts))].CallerAddress()
}

func (s *system) setDown(name string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[name] = down
}

func (s *system) kill(name string) {
	s.setDown(name, true)
	s.host(name).Kill()
}

// restart starts a host again at the same addresses, with its data directory if it has one.
func (s *system) restart(name string) {
	GinkgoHelper()
	options := s.hostOptions[name]
	settings := options.Settings
	old := options.Listeners
	settings.Listen, settings.Data = old.Callers.Addr().String(), old.Data.Addr().String()
	settings.Rpc, settings.Admin = old.RPC.Addr().String(), old.Admin.Addr().String()
	var listeners *host.Listeners
	Eventually(func() (err error) { listeners, err = host.Listen(settings); return err }, eventuallyTimeout, pollInterval).Should(Succeed())
	options.Listeners = &host.Listeners{Callers: listeners.Callers, Data: listeners.Data, RPC: listeners.RPC, Admin: listeners.Admin}
	s.network.intercept(&options)
	h, err := host.New(options)
	Expect(err).NotTo(HaveOccurred())
	h.Start()
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.hosts, func(h *host.Host) bool { return h.Name() == name })
	s.hosts[i] = h
	s.down[name] = false
}

// admin calls the administration API of a host.
func admin(h *host.Host, method, path string, request, response proto.Message) error {
	var body []byte
	var err error
	if request != nil {
		if body, err = protojson.Marshal(request); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, method, "http://"+h.AdminAddress()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	reply, err := http.DefaultClient.Do(call)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	if refusal, ok := apierr.Parse(data); ok {
		return refusal
	}
	return protojson.Unmarshal(data, response)
}

// status returns the status report of the whole deployment from the first live host that responds; an empty one if none does.
func (s *system) status() *schemav1.StatusReport {
	for _, h := range s.liveHosts() {
		report := &schemav1.StatusReport{}
		if admin(h, http.MethodGet, "/v1/status", nil, report) == nil {
			return report
		}
	}
	return &schemav1.StatusReport{}
}

// revisionAt returns the revision in force at a host; 0 if the host can't be asked.
func revisionAt(h *host.Host) uint64 {
	configuration := &schemav1.Configuration{}
	if admin(h, http.MethodGet, "/v1/configuration", nil, configuration) != nil {
		return 0
	}
	return configuration.GetRevision()
}

// submit retries a submission until it has an outcome, as an operator does after a lost response.
func submit(h *host.Host, submission *schemav1.Submission) *schemav1.SubmissionOutcome {
	GinkgoHelper()
	outcome := &schemav1.SubmissionOutcome{}
	Eventually(func() error { return admin(h, http.MethodPost, "/v1/submit", submission, outcome) }, eventuallyTimeout, pollInterval).Should(Succeed())
	return outcome
}

// awaitRevision waits until a revision is in force at all live hosts (I11).
func (s *system) awaitRevision(revision uint64) {
	GinkgoHelper()
	for _, h := range s.liveHosts() {
		Eventually(func() uint64 { return revisionAt(h) }, eventuallyTimeout, pollInterval).Should(Equal(revision), h.Name())
	}
}

// groupLeader returns the name of the host that leads the group of a data centre.
func (s *system) groupLeader(dataCentre string) string {
	GinkgoHelper()
	var name string
	Eventually(func() string {
		for _, h := range s.status().GetHosts() {
			if h.GetDataCentre() == dataCentre && h.GetGroupLeader() {
				name = h.GetHost()
			}
		}
		return name
	}, eventuallyTimeout, pollInterval).ShouldNot(BeEmpty())
	return name
}

// controlLeader returns the name of the host that leads the control group.
func (s *system) controlLeader() string {
	GinkgoHelper()
	var name string
	Eventually(func() string {
		for _, h := range s.status().GetHosts() {
			if h.GetControlLeader() {
				name = h.GetHost()
			}
		}
		return name
	}, eventuallyTimeout, pollInterval).ShouldNot(BeEmpty())
	return name
}

// attachedHost returns the name of the host that a target is attached to.
func (s *system) attachedHost(targetName string) string {
	GinkgoHelper()
	var name string
	Eventually(func() string {
		for _, dataCentre := range s.status().GetDataCentres() {
			for _, t := range dataCentre.GetTargets() {
				if t.GetTarget() == targetName {
					name = t.GetAttachedHost()
				}
			}
		}
		return name
	}, eventuallyTimeout, pollInterval).ShouldNot(BeEmpty())
	return name
}

// executions returns all executions that the targets have recorded.
func (s *system) executions() []targetExecution {
	var all []targetExecution
	for i, t := range s.targets {
		region := []string{"seoul", "seoul", "busan", "busan"}[i%4]
		for _, execution := range t.Executions() {
			all = append(all, targetExecution{Execution: execution, target: t.Name(), region: region})
		}
	}
	return all
}
