// Command review-standin has the stand-ins of the review: back ends as processes of their own, and for each case a client, an operator and
// proxies that start the project's programs, cause the disruption and check the rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the cases by name.
var cases = map[string]func(*run) (broken bool, err error){
	"restarted-owner": restartedOwner,
	"late-order":      lateOrder,
	"frozen-order":    frozenOrder,
}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "server" {
		if err := serverMain(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and ends all processes that it has started.
func runCase(name, folder string) (code int) {
	r, err := newRun(name, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[name](r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	default:
		r.note("result: the rule held")
		return exitHeld
	}
}
