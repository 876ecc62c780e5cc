// Command almondrock runs a host of the router. It also runs stand-in targets and small deployments for tests.
package main

import (
	"fmt"
	"os"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/cli/router"
	"almondrock.example/almondrock/platform"
)

func main() {
	command := router.Command()
	command.AddCommand(platform.Command())
	err := command.Execute()
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, "almondrock:", err)
		os.Exit(1)
	}
}
