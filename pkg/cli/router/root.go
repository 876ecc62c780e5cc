package router

import (
	"github.com/spf13/cobra"
)

// Command returns the root command of the almondrock program.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "almondrock",
		Short:         "Router for servers that own keys exclusively",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(devCommand(), hostCommand(), targetCommand(), trialCertsCommand())
	return root
}
