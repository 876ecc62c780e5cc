// Command standin-2 plays the scripts of the second review: it starts the project's programs as a small deployment on loopback addresses, with
// stand-ins for the platform, the operator, clients and servers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// cases are the checks by name. Each returns true if the rule was broken, or an error if it could not be checked.
var cases = map[string]func(d *deployment, r *record, trouble bool) (broken bool, err error){
	"late-heartbeat":     lateHeartbeat,
	"restart-behind-cut": restartBehindCut,
	"slow-readers":       slowReading,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, in the root of the repository")
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(root)
	if d != nil {
		defer d.stop(os.Getenv("KEEP") != "")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		if d != nil {
			d.stop(false)
		}
		os.Exit(exitNotRun)
	}()
	broken := false
	if err == nil {
		broken, err = cases[os.Args[1]](d, r, os.Getenv("TROUBLE") != "0")
	}
	if err == nil && !broken && len(d.ended()) > 0 {
		err = fmt.Errorf("processes have ended: %v", d.ended())
	}
	switch {
	case err != nil:
		r.write("result", "error", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		r.write("result", "rule", "broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.write("result", "rule", "held")
	fmt.Println("the rule held")
	return exitHeld
}
