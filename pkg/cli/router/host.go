package router

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/host"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/settings"
)

func hostCommand() *cobra.Command {
	values := &schemav1.HostSettings{}
	command := &cobra.Command{
		Use:   "host",
		Short: "Run one host",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := settings.ReadWithEnvironment(command.Flags(), values); err != nil {
				return err
			}
			return runHost(command.Context(), values)
		},
	}
	settings.Register(command.Flags(), values)
	return command
}

func runHost(ctx context.Context, values *schemav1.HostSettings) error {
	setVerbosity(values.GetLogVerbosity())
	options := host.Options{Settings: values, SubmissionCheck: config.CheckSubmission, Handover: true}
	if values.GetBaseFile() != "" {
		submission, _, err := readSubmission(values.GetBaseFile(), settings.SplitList(values.GetOverlayFiles()))
		if err != nil {
			return err
		}
		options.InitialSubmission = submission
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	running, err := host.New(options)
	if err != nil {
		return err
	}
	running.Start()
	select {
	case <-running.Done():
		running.Kill()
		return running.Err()
	case <-ctx.Done():
	}
	// A second signal ends the process at once.
	stop()
	drainContext, cancel := context.WithTimeout(context.Background(), time.Duration(values.GetDrainSeconds())*time.Second)
	defer cancel()
	return running.Stop(drainContext)
}

func setVerbosity(level uint32) {
	var verbosity klog.Level
	if err := verbosity.Set(itoa(level)); err != nil {
		klog.ErrorS(err, "failed to set the log verbosity", "level", level)
	}
}
