// Command dykewingsim runs stand-ins for the platform's services, the load
// generator and simulated experiments.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

const exitFailure = 1

func main() {
	application := kingpin.New("dykewingsim", "Stand-ins, load and experiments of dykewing.")
	registerEngine(application)
	registerKeyValue(application)
	registerMachineList(application)
	registerLoad(application)
	registerPlatform(application)
	registerRun(application)
	kingpin.MustParse(application.Parse(os.Args[1:]))
}

// action wraps a subcommand as a kingpin action. An error is printed on one line
// and the program exits with a non-zero code.
func action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := run(); err != nil {
			fmt.Fprintf(os.Stderr, "dykewingsim: %v\n", err)
			os.Exit(exitFailure)
		}
		return nil
	}
}
