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

// files are the operators' files of the deployment under test.
const files = `
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

// Generous bounds: nothing below depends on the speed of the machine.
const (
	within = 30 * time.Second
	often  = 50 * time.Millisecond
)

// system is a deployment under test.
type system struct {
	*Deployment
	network *network
	plans   map[string]host.Options
	started time.Time

	mu   sync.Mutex
	down map[string]bool
}

func submission(id string, basedOn uint64, overlays ...string) *schemav1.Submission {
	s := &schemav1.Submission{
		Id: id, Operator: "operator-" + id, BasedOn: basedOn,
		Base: &schemav1.SourceFile{Name: "base.yaml", Content: []byte(files)},
	}
	for _, overlay := range overlays {
		name := strings.Fields(overlay)[1]
		s.Overlays = append(s.Overlays, &schemav1.SourceFile{Name: "overlays/" + name + ".yaml", Content: []byte(overlay)})
	}
	return s
}

// startSystem starts a deployment in dataDir and waits until every key is served.
func startSystem(dataDir string, hosts int) (*system, error) {
	first := submission("first", 0)
	configuration, problems := config.CheckSubmission(nil, first)
	if len(problems) > 0 {
		return nil, fmt.Errorf("files refused: %v", problems)
	}
	s := &system{network: newNetwork(), plans: map[string]host.Options{}, down: map[string]bool{}, started: time.Now().Add(-time.Second)}
	deployment, err := Start(Options{
		HostsPerDataCentre: hosts, DataDir: dataDir, InitialSubmission: first, Configuration: configuration, Targets: map[string]int{"desk": 8},
		Slots: 4, MaxConnections: 64, Faults: standin.Faults{ServiceTime: 2 * time.Millisecond}, SubmissionCheck: config.CheckSubmission,
		EditHost: func(options *host.Options) {
			options.Handover = true
			s.plans[options.Settings.GetName()] = *options
			s.network.edit(options)
		},
		EditTarget: func(options *standin.Options) {
			// One clock for all, so that runs of different targets can be ordered.
			options.Clock = func() time.Duration { return time.Since(s.started) }
		},
	})
	if err != nil {
		return nil, err
	}
	s.Deployment = deployment
	for _, t := range deployment.targets {
		s.network.own(t.Address(), t.Name())
	}
	return s, nil
}

func newSystem() *system {
	s, err := startSystem(GinkgoT().TempDir(), defaultHostsPerDataCentre)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		s.network.setCut(nil)
		for _, h := range s.hosts {
			s.network.pause(h.Name(), false)
		}
		s.Kill()
	})
	s.eventuallyServed()
	return s
}

// probes is the number of keys that eventuallyServed tries; with 16 shards it meets all with high probability.
const probes = 64

// unserved sends one request per key through live hosts in turn and reports the first that is not served.
func (s *system) unserved(client *http.Client) error {
	hosts := s.live()
	for i := range probes {
		o := &operation{key: fmt.Sprintf("probe-%d", i), method: http.MethodGet, path: "/probe"}
		h := hosts[i%len(hosts)]
		if r := send(client, h.CallerAddress(), o); !r.served() {
			return fmt.Errorf("%s by %s: %s", o.key, h.Name(), describe([]reply{r}))
		}
	}
	return nil
}

func (s *system) eventuallyServed() {
	GinkgoHelper()
	client := newClient()
	defer client.CloseIdleConnections()
	Eventually(func() error { return s.unserved(client) }, within, often).Should(Succeed(), func() string {
		return protojson.MarshalOptions{Multiline: true}.Format(s.status())
	})
}

// live returns the hosts that were not killed or stopped.
func (s *system) live() []*host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host.Host) bool { return s.down[h.Name()] })
}

func (s *system) host(name string) *host.Host {
	i := slices.IndexFunc(s.hosts, func(h *host.Host) bool { return h.Name() == name })
	return s.hosts[i]
}

func (s *system) randomCallerAddress(random *rand.Rand) string {
	hosts := s.live()
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

// restart starts a host again at its addresses, with its data folder if it has one.
func (s *system) restart(name string) {
	GinkgoHelper()
	options := s.plans[name]
	settings := options.Settings
	old := options.Listeners
	settings.Listen, settings.Data = old.Callers.Addr().String(), old.Data.Addr().String()
	settings.Rpc, settings.Admin = old.RPC.Addr().String(), old.Admin.Addr().String()
	var listeners *host.Listeners
	Eventually(func() (err error) { listeners, err = host.Listen(settings); return err }, within, often).Should(Succeed())
	options.Listeners = &host.Listeners{Callers: listeners.Callers, Data: listeners.Data, RPC: listeners.RPC, Admin: listeners.Admin}
	s.network.edit(&options)
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

// status asks a live host for the report of the whole deployment.
func (s *system) status() *schemav1.StatusReport {
	for _, h := range s.live() {
		report := &schemav1.StatusReport{}
		if admin(h, http.MethodGet, "/v1/status", nil, report) == nil {
			return report
		}
	}
	return &schemav1.StatusReport{}
}

// revisionAt is the revision in force at a host, 0 when it does not tell.
func revisionAt(h *host.Host) uint64 {
	configuration := &schemav1.Configuration{}
	if admin(h, http.MethodGet, "/v1/configuration", nil, configuration) != nil {
		return 0
	}
	return configuration.GetRevision()
}

// submit sends a submission again until it has an outcome, as an operator does after a lost answer.
func submit(h *host.Host, submission *schemav1.Submission) *schemav1.SubmissionOutcome {
	GinkgoHelper()
	outcome := &schemav1.SubmissionOutcome{}
	Eventually(func() error { return admin(h, http.MethodPost, "/v1/submit", submission, outcome) }, within, often).Should(Succeed())
	return outcome
}

// expectRevision waits until a revision is in force at all live hosts (I11).
func (s *system) expectRevision(revision uint64) {
	GinkgoHelper()
	for _, h := range s.live() {
		Eventually(func() uint64 { return revisionAt(h) }, within, often).Should(Equal(revision), h.Name())
	}
}

// leaderOf returns the host that leads the group of a data centre.
func (s *system) leaderOf(dataCentre string) string {
	GinkgoHelper()
	var name string
	Eventually(func() string {
		for _, h := range s.status().GetHosts() {
			if h.GetDataCentre() == dataCentre && h.GetGroupLeader() {
				name = h.GetHost()
			}
		}
		return name
	}, within, often).ShouldNot(BeEmpty())
	return name
}

// controlLeader returns the host that leads the control group.
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
	}, within, often).ShouldNot(BeEmpty())
	return name
}

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
	}, within, often).ShouldNot(BeEmpty())
	return name
}

func (s *system) runs() []targetRun {
	var all []targetRun
	for i, t := range s.targets {
		region := []string{"seoul", "seoul", "busan", "busan"}[i%4]
		for _, run := range t.Executions() {
			all = append(all, targetRun{Execution: run, target: t.Name(), region: region})
		}
	}
	return all
}
