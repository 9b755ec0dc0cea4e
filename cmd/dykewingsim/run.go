package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/internal/experiment"
)

// Output formats of the run subcommand.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func registerRun(application *kingpin.Application) {
	command := application.Command("run", "Run a scenario on virtual time and compare strategies.")
	file := command.Arg("scenario", "YAML file of the scenario.").Required().String()
	seed := command.Flag("seed", "Random seed; the same seed gives the same report.").Default("1").Uint64()
	output := command.Flag("output", "Format on standard output: table or json.").Default(outputTable).Enum(outputTable, outputJSON)
	folder := command.Flag("folder", "Folder for the report: JSON, table and plots.").String()
	only := command.Flag("strategies", "Comma-separated numbers of strategies to run, from 0.").String()
	reserve := command.Flag("batch-reserve", "Share of a worker's slots that batch leaves free.").
		Default(fmt.Sprint(admission.DefaultReserve)).Float64()
	filling := admission.DefaultBatchPolicy()
	command.Flag("batch-start-pressure", "Share of a row's workers up to which online requests may wait for their first token while batch is still sent.").
		Default(fmt.Sprint(admission.DefaultStartPressure)).Float64Var(&filling.StartPressure)
	command.Action(action(func() error {
		scenario, err := experiment.Load(*file)
		if err != nil {
			return err
		}
		strategies, err := chooseStrategies(*only)
		if err != nil {
			return err
		}
		report := experiment.Run(scenario, *seed, admission.Settings{Reserve: *reserve, BatchPolicy: filling}, strategies)
		if *folder != "" {
			if err := report.WriteFolder(*folder); err != nil {
				return err
			}
		}
		if *output == outputJSON {
			return report.WriteJSON(os.Stdout)
		}
		return report.WriteTable(os.Stdout)
	}))
}

func chooseStrategies(text string) ([]experiment.Strategy, error) {
	all := experiment.Strategies()
	if text == "" {
		return all, nil
	}
	var chosen []experiment.Strategy
	for _, field := range strings.Split(text, ",") {
		number, err := strconv.Atoi(field)
		if err != nil || number < 0 || number >= len(all) {
			return nil, fmt.Errorf("strategy %q is not a number from 0 to %d", field, len(all)-1)
		}
		chosen = append(chosen, all[number])
	}
	return chosen, nil
}
