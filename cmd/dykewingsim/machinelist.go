package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/discovery"
	"github.com/dykewing/dykewing/internal/standin/machinelist"
)

func registerMachineList(application *kingpin.Application) {
	command := application.Command("machinelist", "Serve the stand-in of the machine list (HTTP service-discovery JSON).")
	address := command.Flag("address", "Address to listen on.").Default("127.0.0.1:0").String()
	control := command.Flag("control-address", "Address of the control API for faults and targets.").Default("127.0.0.1:0").String()
	lag := command.Flag("lag", "Delay until changes are visible.").Default("2s").Duration()
	file := command.Flag("targets", "File with the initial list.").String()
	command.Action(action(func() error {
		server := machinelist.NewServer(*lag)
		if *file != "" {
			if err := loadTargets(server, *file); err != nil {
				return err
			}
		}
		if err := serveControl(*control, server.Control()); err != nil {
			return err
		}
		return serveStandIn(*address, server)
	}))
}

func loadTargets(server *machinelist.Server, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read targets: %w", err)
	}
	var groups []discovery.Group
	if err := json.Unmarshal(raw, &groups); err != nil {
		return fmt.Errorf("read targets %s: %w", file, err)
	}
	workers, err := discovery.ParseWorkers(groups)
	if err != nil {
		return fmt.Errorf("read targets %s: %w", file, err)
	}
	server.Set(workers)
	return nil
}
