package router

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/dev"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
)

// devOptions are the flags of "almondrock dev".
type devOptions struct {
	listen, admin, dataDir, filesDir string
	serviceTime                      time.Duration
	drainTimeout                     time.Duration
	logDecisions                     bool
}

// readyTimeout is how long "almondrock dev" waits for the deployment to become ready.
const readyTimeout = 30 * time.Second

// Numbers and limits of the targets that "almondrock dev" starts. They are those of the deployment in examples/alliance.
const (
	devLookupTargets  = 30
	devFileTargets    = 8
	devSlots          = 2
	devMaxConnections = 130
)

func devCommand() *cobra.Command {
	options := devOptions{}
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run a small deployment with stand-in targets in one process on loopback",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return runDev(command, options) },
	}
	flags := command.Flags()
	flags.StringVar(&options.listen, "listen", "127.0.0.1:8080", "IP:PORT for callers")
	flags.StringVar(&options.admin, "admin", "127.0.0.1:8083", "IP:PORT for administration, health and metrics")
	flags.StringVar(&options.dataDir, "data-dir", "", "folder for the control group's state; a temporary one when empty")
	flags.StringVar(&options.filesDir, "files", filepath.Join("examples", "alliance"), "folder with base.yaml and overlays/")
	flags.DurationVar(&options.serviceTime, "service-time", 2*time.Millisecond, "time that a stand-in target works on a request")
	flags.DurationVar(&options.drainTimeout, "drain", 30*time.Second, "longest time that a stop waits for work in flight")
	flags.BoolVar(&options.logDecisions, "log-decisions", true, "log one line per routing and placement decision")
	return command
}

func runDev(command *cobra.Command, options devOptions) error {
	submission, configuration, err := readFiles(options.filesDir)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	deployment, err := dev.Start(dev.Options{
		Listen: options.listen, Admin: options.admin, DataDir: options.dataDir,
		InitialSubmission: submission, Configuration: configuration,
		Targets:         devTargets(configuration),
		Slots:           devSlots,
		MaxConnections:  devMaxConnections,
		Faults:          standin.Faults{ServiceTime: options.serviceTime},
		LogDecisions:    options.logDecisions,
		SubmissionCheck: config.CheckSubmission,
	})
	if err != nil {
		return err
	}
	if awaitReady(ctx, deployment) {
		printReady(command, deployment, configuration)
	}
	<-ctx.Done()
	// A second signal ends the process at once.
	stop()
	drainContext, cancel := context.WithTimeout(context.Background(), options.drainTimeout)
	defer cancel()
	return deployment.Stop(drainContext)
}

// devTargets returns the number of targets by service. The first service gets as many as a lookup service, the others as many
// as a file service.
func devTargets(configuration *schemav1.Configuration) map[string]int {
	targets := map[string]int{}
	for i, service := range configuration.GetServices() {
		targets[service.GetName()] = devFileTargets
		if i == 0 {
			targets[service.GetName()] = devLookupTargets
		}
	}
	return targets
}

// awaitReady waits until the deployment is ready. It returns false after readyTimeout or if ctx is done.
func awaitReady(ctx context.Context, deployment *dev.Deployment) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !deployment.Ready() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// printReady prints the addresses of the deployment and commands to try.
func printReady(command *cobra.Command, deployment *dev.Deployment, configuration *schemav1.Configuration) {
	firstHost := deployment.Hosts()[0]
	out := command.OutOrStdout()
	fmt.Fprintf(out, "ready: %d hosts, %d targets, callers on %s, administration on %s\n",
		len(deployment.Hosts()), len(deployment.Targets()), firstHost.CallerAddress(), firstHost.AdminAddress())
	fmt.Fprintln(out, "try:")
	for _, service := range configuration.GetServices() {
		fmt.Fprintf(out, "  curl -i -H 'Almondrock-Key: 42' http://%s/%s/\n", firstHost.CallerAddress(), service.GetName())
	}
	fmt.Fprintf(out, "  curl http://%s/v1/status\n", firstHost.AdminAddress())
}

// FilesError reports that the operators' files in a directory can't be read or are refused.
type FilesError struct {
	// Directory contains the files. Problems has one line per reason for a refusal; Err is set instead if a file can't be read.
	Directory string
	Problems  []string
	Err       error
}

// Error implements error.
func (e *FilesError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("cannot read %s: %v", e.Directory, e.Err)
	}
	message := fmt.Sprintf("the files in %s are refused:", e.Directory)
	for _, problem := range e.Problems {
		message += "\n  " + problem
	}
	return message
}

// Unwrap returns the cause.
func (e *FilesError) Unwrap() error { return e.Err }

// readFiles reads base.yaml and overlays/*.yaml in a directory. It returns them as the initial submission, with the merged
// configuration.
func readFiles(dir string) (*schemav1.Submission, *schemav1.Configuration, error) {
	overlays, err := filepath.Glob(filepath.Join(dir, "overlays", "*.yaml"))
	if err != nil {
		return nil, nil, &FilesError{Directory: dir, Err: err}
	}
	slices.Sort(overlays)
	return readSubmission(filepath.Join(dir, "base.yaml"), overlays)
}

// readSubmission reads and checks a base file and its overlays. It returns them as the initial submission, with the merged
// configuration.
func readSubmission(base string, overlays []string) (*schemav1.Submission, *schemav1.Configuration, error) {
	submission := &schemav1.Submission{Id: "first-configuration", Operator: "process settings"}
	content, err := os.ReadFile(base)
	if err != nil {
		return nil, nil, &FilesError{Directory: filepath.Dir(base), Err: err}
	}
	submission.Base = &schemav1.SourceFile{Name: base, Content: content}
	for _, overlay := range overlays {
		content, err := os.ReadFile(overlay)
		if err != nil {
			return nil, nil, &FilesError{Directory: filepath.Dir(overlay), Err: err}
		}
		submission.Overlays = append(submission.Overlays, &schemav1.SourceFile{Name: overlay, Content: content})
	}
	configuration, problems := config.CheckSubmission(nil, submission)
	if len(problems) > 0 {
		refused := &FilesError{Directory: filepath.Dir(base)}
		for _, problem := range problems {
			refused.Problems = append(refused.Problems, config.FormatProblem(problem))
		}
		return nil, nil, refused
	}
	return submission, configuration, nil
}
