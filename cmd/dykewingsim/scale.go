package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/scale"
)

// scaleLimit bounds a run; the fleet shares this one process.
const scaleLimit = 10 * time.Minute

type scaleFlags struct {
	size    scale.Size
	options scale.Options
	nodes   string
	sweep   bool
	output  string
}

func registerScale(application *kingpin.Application) {
	command := application.Command("scale", "Run hollow nodes with the real control machines on a virtual clock and print what control costs.")
	flags := &scaleFlags{size: scale.DesignSize()}
	flags.options = scale.DefaultOptions(flags.size)
	integer := func(name, help string, target *int) {
		command.Flag(name, help).Default(fmt.Sprint(*target)).IntVar(target)
	}
	integer("routers", "Routers.", &flags.size.Routers)
	integer("stores", "Stores.", &flags.size.Stores)
	integer("sidecars", "Sidecars.", &flags.size.Sidecars)
	integer("workers", "Workers.", &flags.size.Workers)
	integer("models", "Models; the table has a row for each in each zone.", &flags.size.Models)
	integer("tenants", "Tenants.", &flags.size.Tenants)
	integer("zones", "Zones.", &flags.size.Zones)
	integer("regions", "Regions.", &flags.size.Regions)
	integer("jobs", "Batch jobs that wait.", &flags.options.Jobs)
	integer("items", "Items of each job.", &flags.options.ItemsOfJob)
	command.Flag("nodes", "Run the same proportions at these numbers of nodes too, for example 50,150,300.").StringVar(&flags.nodes)
	command.Flag("sweep", "Also vary workers, models, tenants, jobs and items one at a time, at the smallest size.").BoolVar(&flags.sweep)
	command.Flag("seed", "Seed of all chance.").Default("1").Uint64Var(&flags.options.Seed)
	command.Flag("duration", "Virtual time of the steady part.").Default(flags.options.Duration.String()).DurationVar(&flags.options.Duration)
	command.Flag("warm-up", "Virtual time before anything is measured.").Default(flags.options.WarmUp.String()).DurationVar(&flags.options.WarmUp)
	command.Flag("fault-window", "Virtual time after each crash; 0 makes none.").Default(flags.options.FaultWindow.String()).DurationVar(&flags.options.FaultWindow)
	command.Flag("interval", "Between heartbeats.").Default(flags.options.Interval.String()).DurationVar(&flags.options.Interval)
	command.Flag("output", "text or json.").Default("text").EnumVar(&flags.output, "text", "json")
	command.Action(action(flags.run))
}

func (f *scaleFlags) run() error {
	ctx, cancel := context.WithTimeout(context.Background(), scaleLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	f.options.Progress = progressLine()
	runs, err := f.runs()
	if err != nil {
		return err
	}
	report, err := scale.RunAll(ctx, runs)
	fmt.Fprint(os.Stderr, "\r\033[K")
	return errors.Join(err, f.print(report))
}

// print shows what was measured, also of a run that was cut short.
func (f *scaleFlags) print(report scale.Report) error {
	if f.output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	report.Print(os.Stdout)
	return nil
}

// runs gives the sizes in order; slopes are fitted against the first one.
func (f *scaleFlags) runs() ([]scale.Options, error) {
	var sizes []scale.Size
	for text := range strings.SplitSeq(f.nodes, ",") {
		if f.nodes == "" {
			break
		}
		nodes, err := strconv.Atoi(text)
		if err != nil || nodes < 1 {
			return nil, fmt.Errorf("read --nodes: %q is not a number of nodes", text)
		}
		sizes = append(sizes, f.size.WithNodes(nodes))
	}
	sizes = append(sizes, f.size)
	var runs []scale.Options
	for _, size := range sizes {
		options := f.options
		options.Size = size
		runs = append(runs, options)
	}
	if f.sweep {
		runs = append(runs, scale.Sweep(f.options, sizes[0])...)
	}
	return runs, nil
}

// progressLine rewrites one line of standard error, at most some times a second.
func progressLine() func(string) {
	const every = 200 * time.Millisecond
	var last time.Time
	return func(line string) {
		if time.Since(last) >= every {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "\r\033[K%s", line)
		}
	}
}
