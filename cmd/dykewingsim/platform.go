package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/standin/platform"
)

func registerPlatform(application *kingpin.Application) {
	command := application.Command("platform", "Serve stand-ins of the whole platform and write settings files for daemons that run as separate processes.")
	options := platform.DefaultOptions("")
	command.Arg("folder", "Folder for the settings files and the stores' data.").Required().StringVar(&options.Folder)
	integer := func(name, help string, target *int) {
		command.Flag(name, help).Default(fmt.Sprint(*target)).IntVar(target)
	}
	integer("routers", "Number of routers to write settings files for.", &options.Routers)
	integer("stores", "Number of stores to write settings files for.", &options.Stores)
	integer("sidecars", "Number of sidecars to write settings files for.", &options.Sidecars)
	integer("workers", "Engines per row of the table.", &options.WorkersPerRow)
	integer("zones", "Number of zones for daemons and engines.", &options.Zones)
	integer("slots", "Maximum number of concurrent requests per engine.", &options.Engine.Slots)
	command.Flag("step", "Duration of an engine step, which generates one token per request.").Default(options.Engine.Model.StepBase.String()).DurationVar(&options.Engine.Model.StepBase)
	command.Flag("prefill", "Duration of prefilling 1000 tokens.").Default(options.Engine.Model.StepPrefill.String()).DurationVar(&options.Engine.Model.StepPrefill)
	command.Action(action(func() error { return runPlatform(options) }))
}

// runPlatform serves the stand-ins until interrupted.
func runPlatform(options platform.Options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	running, err := platform.Start(ctx, options)
	if err != nil {
		return err
	}
	fmt.Printf("Key-value service: %s\nMachine list: %s\n\nStart each in a terminal of its own:\n", running.KeyValueURL, running.MachineListURL)
	for _, daemon := range running.Daemons {
		fmt.Printf("  dykewing %s --settings %s\n", daemon.Role, daemon.File)
	}
	for _, daemon := range running.Daemons {
		if daemon.ClientAddress != "" {
			fmt.Printf("\nBase URL for callers at %s: http://%s/v1\n", daemon.ID, daemon.ClientAddress)
		}
	}
	fmt.Println("Stop with Ctrl-C.")
	<-ctx.Done()
	return running.Close()
}
