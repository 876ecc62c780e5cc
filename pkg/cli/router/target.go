package router

import (
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/settings"
	"almondrock.example/almondrock/pkg/standin"
)

func targetCommand() *cobra.Command {
	values := &schemav1.TargetSettings{}
	command := &cobra.Command{
		Use:   "target",
		Short: "Run one stand-in target, for trying out and for tests",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := settings.ReadWithEnvironment(command.Flags(), values); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			server, err := standin.Start(standin.Options{
				Name:           values.GetName(),
				Service:        values.GetService(),
				DataCentre:     values.GetDataCentre(),
				Address:        values.GetListen(),
				Hosts:          settings.SplitList(values.GetHosts()),
				Token:          values.GetAnnounceToken(),
				Slots:          values.GetSlots(),
				MaxConnections: values.GetMaxConnections(),
				Faults:         standin.Faults{ServiceTime: time.Duration(values.GetServiceMs()) * time.Millisecond},
			})
			if err != nil {
				return err
			}
			<-ctx.Done()
			return server.Close()
		},
	}
	settings.Register(command.Flags(), values)
	return command
}

func itoa(value uint32) string { return strconv.FormatUint(uint64(value), 10) }
