package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/load"
)

func registerLoad(application *kingpin.Application) {
	command := application.Command("load", "Send Poisson arrivals to a sidecar, open loop, and check every answer.")
	options := load.DefaultOptions()
	command.Flag("url", "Base URL for callers, with /v1.").Required().StringVar(&options.URL)
	class := command.Flag("class", "online: streamed chats; batch: jobs of --items items.").Default(string(options.Class)).Enum(string(api.ClassOnline), string(api.ClassBatch))
	model := command.Flag("model", "Service to request.").Default(string(options.Model)).String()
	tenant := command.Flag("tenant", "Tenant to which the requests are accounted.").Default(string(options.Tenant)).String()
	command.Flag("rate", "Arrivals per second.").Default(fmt.Sprint(options.Rate)).Float64Var(&options.Rate)
	command.Flag("duration", "Duration of arrivals.").Default(options.Duration.String()).DurationVar(&options.Duration)
	command.Flag("tokens", "Tokens per answer.").Default(fmt.Sprint(options.Tokens)).IntVar(&options.Tokens)
	command.Flag("prompt-bytes", "Bytes per prompt.").Default(fmt.Sprint(options.PromptBytes)).IntVar(&options.PromptBytes)
	command.Flag("items", "Items per batch job.").Default(fmt.Sprint(options.Items)).IntVar(&options.Items)
	command.Flag("timeout", "Timeout of one request or job.").Default(options.Timeout.String()).DurationVar(&options.Timeout)
	command.Flag("maximum-open", "Maximum number of requests in flight; further arrivals are dropped and counted.").Default(fmt.Sprint(options.MaxInFlight)).IntVar(&options.MaxInFlight)
	command.Flag("seed", "Random seed of arrivals and prompts.").Default("1").Uint64Var(&options.Seed)
	output := command.Flag("output", "table or json.").Default(outputTable).Enum(outputTable, outputJSON)
	command.Action(action(func() error {
		options.Class, options.Model, options.Tenant = api.Class(*class), api.ServiceName(*model), api.TenantID(*tenant)
		return runLoad(options, *output)
	}))
}

// runLoad runs the load and prints its report. It returns an error if any answer
// was wrong or no request was answered.
func runLoad(options load.Options, output string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	line := progressLine()
	options.Progress = func(done, wrong int) { line(fmt.Sprintf("%d ended, %d wrong", done, wrong)) }
	report, err := load.Run(ctx, options)
	fmt.Fprint(os.Stderr, "\r\033[K")
	if report == nil {
		return err
	}
	if output == outputJSON {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	} else {
		report.Print(os.Stdout)
	}
	if report.Wrong > 0 {
		return fmt.Errorf("%d answers were wrong", report.Wrong)
	}
	if report.Correct == 0 {
		return fmt.Errorf("no request was answered")
	}
	return nil
}

// progressLine returns a function that rewrites one line of standard error, at a
// limited rate.
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
