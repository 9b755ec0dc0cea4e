//go:build review

// Command rig-2 plays the cases of review/4 to review/6: it starts the programs of the deploy file as
// processes over stand-ins of the platform, disturbs them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// scenarios are the cases by name. Each returns what broke the rule, one line for each.
var scenarios = map[string]func(c *run) ([]string, error){
	"cut":     cut,
	"freeze":  freeze,
	"retire":  retire,
	"slashes": slashes,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER [RECORD] | rig-2 worker FLAGS")
		os.Exit(exitFailed)
	}
	if os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	scenario, known := scenarios[os.Args[1]]
	if !known || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "unknown case, or no folder for its record")
		os.Exit(exitFailed)
	}
	file := "record.txt"
	if len(os.Args) > 3 {
		file = os.Args[3]
	}
	os.Exit(play(scenario, filepath.Join(os.Args[2], file)))
}

// play runs a scenario and writes its record.
func play(scenario func(*run) ([]string, error), file string) int {
	c, err := newRun(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := scenario(c)
	c.stop()
	if err != nil {
		c.note("the case could not run: %v", err)
		c.close("could not run")
		return exitFailed
	}
	for _, line := range broken {
		c.note("BROKEN: %s", line)
	}
	if len(broken) > 0 {
		c.close("broken")
		return exitBroken
	}
	c.close("held")
	return exitHeld
}
