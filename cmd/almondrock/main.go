// Command almondrock is the process that runs on every host of the router.
package main

import (
	"fmt"
	"os"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/cli/router"
)

func main() {
	err := router.Command().Execute()
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, "almondrock:", err)
		os.Exit(1)
	}
}
