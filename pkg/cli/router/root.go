package router

import (
	"flag"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

// Command returns the root command of the almondrock program.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "almondrock",
		Short:         "Router for servers that own keys exclusively",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	logFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	root.PersistentFlags().AddGoFlag(logFlags.Lookup("v"))
	root.AddCommand(devCommand())
	return root
}
