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
	listen, admin, dataDir, example string
	serviceTime                     time.Duration
	drain                           time.Duration
	logDecisions                    bool
}

// readyTimeout is how long a deployment on loopback may take to become ready.
const readyTimeout = 30 * time.Second

// Targets that the dev command starts: the Alliance's sizes of today.
const (
	devDeskTargets    = 30
	devLibraryTargets = 8
	devSlots          = 2
	devConnections    = 130
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
	flags.StringVar(&options.example, "files", filepath.Join("examples", "alliance"), "folder with base.yaml and overlays/")
	flags.DurationVar(&options.serviceTime, "service-time", 2*time.Millisecond, "time that a stand-in target works on a request")
	flags.DurationVar(&options.drain, "drain", 30*time.Second, "longest time that a stop waits for work in flight")
	flags.BoolVar(&options.logDecisions, "log-decisions", true, "log one line per routing and placement decision")
	return command
}

func runDev(command *cobra.Command, options devOptions) error {
	first, configuration, err := readFiles(options.example)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	deployment, err := dev.Start(dev.Options{
		Listen: options.listen, Admin: options.admin, DataDir: options.dataDir,
		InitialSubmission: first, Configuration: configuration,
		Targets:         devTargets(configuration),
		Slots:           devSlots,
		MaxConnections:  devConnections,
		Faults:          standin.Faults{ServiceTime: options.serviceTime},
		LogDecisions:    options.logDecisions,
		SubmissionCheck: config.CheckSubmission,
	})
	if err != nil {
		return err
	}
	if awaitReady(ctx, deployment) {
		announceReady(command, deployment, configuration)
	}
	<-ctx.Done()
	// A second signal ends the process at once.
	stop()
	drainContext, cancel := context.WithTimeout(context.Background(), options.drain)
	defer cancel()
	return deployment.Stop(drainContext)
}

// devTargets gives the first service the size of a lookup service and the others that of a file service.
func devTargets(configuration *schemav1.Configuration) map[string]int {
	targets := map[string]int{}
	for i, service := range configuration.GetServices() {
		targets[service.GetName()] = devLibraryTargets
		if i == 0 {
			targets[service.GetName()] = devDeskTargets
		}
	}
	return targets
}

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

func announceReady(command *cobra.Command, deployment *dev.Deployment, configuration *schemav1.Configuration) {
	first := deployment.Hosts()[0]
	out := command.OutOrStdout()
	fmt.Fprintf(out, "ready: %d hosts, %d targets, callers on %s, administration on %s\n",
		len(deployment.Hosts()), len(deployment.Targets()), first.CallerAddress(), first.AdminAddress())
	fmt.Fprintln(out, "try:")
	for _, service := range configuration.GetServices() {
		fmt.Fprintf(out, "  curl -i -H 'Almondrock-Key: 42' http://%s/%s/\n", first.CallerAddress(), service.GetName())
	}
	fmt.Fprintf(out, "  curl http://%s/v1/status\n", first.AdminAddress())
}

// FilesError reports files of operators that cannot be read or are refused.
type FilesError struct {
	// Dir was given; Problems has one line per problem.
	Dir      string
	Problems []string
	Err      error
}

// Error implements error.
func (e *FilesError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("cannot read %s: %v", e.Dir, e.Err)
	}
	message := fmt.Sprintf("the files in %s are refused:", e.Dir)
	for _, problem := range e.Problems {
		message += "\n  " + problem
	}
	return message
}

// Unwrap returns the cause.
func (e *FilesError) Unwrap() error { return e.Err }

// readFiles reads base.yaml and overlays/*.yaml of a folder as a first submission.
func readFiles(folder string) (*schemav1.Submission, *schemav1.Configuration, error) {
	overlays, err := filepath.Glob(filepath.Join(folder, "overlays", "*.yaml"))
	if err != nil {
		return nil, nil, &FilesError{Dir: folder, Err: err}
	}
	slices.Sort(overlays)
	return readSubmission(filepath.Join(folder, "base.yaml"), overlays)
}

func readSubmission(base string, overlays []string) (*schemav1.Submission, *schemav1.Configuration, error) {
	submission := &schemav1.Submission{Id: "first-configuration", Operator: "process settings"}
	content, err := os.ReadFile(base)
	if err != nil {
		return nil, nil, &FilesError{Dir: filepath.Dir(base), Err: err}
	}
	submission.Base = &schemav1.SourceFile{Name: base, Content: content}
	for _, overlay := range overlays {
		content, err := os.ReadFile(overlay)
		if err != nil {
			return nil, nil, &FilesError{Dir: filepath.Dir(overlay), Err: err}
		}
		submission.Overlays = append(submission.Overlays, &schemav1.SourceFile{Name: overlay, Content: content})
	}
	configuration, problems := config.CheckSubmission(nil, submission)
	if len(problems) > 0 {
		refused := &FilesError{Dir: filepath.Dir(base)}
		for _, problem := range problems {
			refused.Problems = append(refused.Problems, config.FormatProblem(problem))
		}
		return nil, nil, refused
	}
	return submission, configuration, nil
}
