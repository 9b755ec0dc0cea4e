// Command dykewing runs one role of the serving system, or a development fleet
// in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/daemon"
	"github.com/dykewing/dykewing/internal/dev"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/logging"
	"github.com/dykewing/dykewing/platform"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	application := kingpin.New("dykewing", "Serving system for online and batch inference on one fleet.")
	roles := map[string]*roleFlags{}
	for _, role := range []api.Role{api.RoleSidecar, api.RoleRouter, api.RoleStore, api.RoleFrontend} {
		command := application.Command(string(role), fmt.Sprintf("Run a %s.", role))
		roles[command.FullCommand()] = newRoleFlags(role, command)
	}
	check := application.Command("check-settings", "Check a settings file and exit.")
	checkFile := check.Arg("file", "The settings file.").Required().String()
	development := newDevFlags(application.Command("dev", "Run a small fleet with stand-ins in this process."))

	command := kingpin.MustParse(application.Parse(os.Args[1:]))
	switch command {
	case check.FullCommand():
		checkSettings(*checkFile)
	case "dev":
		exitOnError(runDev(development), exitFailure)
	default:
		runRole(roles[command])
	}
}

type roleFlags struct {
	role      api.Role
	file      *string
	overrides map[string]*string
}

func newRoleFlags(role api.Role, command *kingpin.CmdClause) *roleFlags {
	flags := &roleFlags{role: role, overrides: map[string]*string{}}
	flags.file = command.Flag("settings", "The settings file.").Required().String()
	for flag, key := range map[string]string{
		"id": "node.id", "address": "node.address", "region": "node.region", "zone": "node.zone",
		"log-level": "log.level", "data-folder": "store.data_folder", "callers-address": "sidecar.address",
	} {
		flags.overrides[key] = command.Flag(flag, "Goes before "+key+" of the file.").String()
	}
	return flags
}

func (f *roleFlags) load() (config.Settings, error) {
	overrides := map[string]any{}
	for key, value := range f.overrides {
		if *value != "" {
			overrides[key] = *value
		}
	}
	return config.Load(*f.file, overrides)
}

func checkSettings(file string) {
	_, err := config.Load(file, nil)
	exitOnError(err, exitSettings)
	fmt.Printf("%s: no fault found\n", file)
}

func runRole(flags *roleFlags) {
	settings, err := flags.load()
	exitOnError(err, exitSettings)
	logger, lines, err := logging.NewQueued(settings.Log, os.Stdout)
	exitOnError(err, exitSettings)
	logging.RedirectStandard(logger.WithField("node", settings.Node.ID).WithField("part", "library"))
	err = serveRole(flags.role, settings, logger)
	if err != nil {
		logger.WithField("part", "node").WithField("event", "ended").WithError(err).Error("The process ends.")
	}
	lines.Close()
	exitOnError(err, exitFailure)
}

func serveRole(role api.Role, settings config.Settings, logger *logrus.Logger) error {
	if bytes := settings.Node.MaxHeapBytes(); bytes > 0 {
		debug.SetMemoryLimit(bytes)
	}
	ctx, kill := stopSignals()
	go handleReloadSignal(logger)
	process, err := daemon.New(role, settings, logger, newPlatform(settings))
	if err != nil {
		return err
	}
	return process.Run(ctx, kill)
}

// stopSignals returns a context that is cancelled by the first SIGTERM or
// interrupt, for graceful shutdown, and one that is cancelled by the second.
func stopSignals() (ctx, kill context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	kill, end := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		stop()
		<-signals
		end()
	}()
	return ctx, kill
}

// handleReloadSignal logs on SIGHUP that settings are not reloaded. Without a
// handler the signal would terminate the process.
func handleReloadSignal(logger *logrus.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		logger.WithField("part", "node").WithField("event", "reload").Info("SIGHUP: settings hold until the next start.")
	}
}

// newPlatform returns the platform client for the settings, or nil if none is
// configured.
func newPlatform(settings config.Settings) *daemon.Platform {
	if settings.Platform.StoreAddress == "" {
		return nil
	}
	pace := kv.NewLimiter(kv.Rates{Reads: settings.Platform.ReadsPerSecond, Writes: settings.Platform.WritesPerSecond})
	store := platform.NewKeyValue(settings.Platform.StoreAddress, settings.Platform.Timeout, settings.Platform.LongPollTimeout())
	store.Admit = pace.Wait
	return &daemon.Platform{
		KeyValue:     store,
		Limiter:      pace,
		ObserveCalls: func(call func(path string, err error)) { store.Observe = call },
		Protocol:     platform.Protocol{},
		Source:       platform.CatalogSource(),

		Decommissions: platform.Decommissions(),
	}
}

type devFlags struct {
	exercise *bool
	address  *string
	logLevel *string
}

func newDevFlags(command *kingpin.CmdClause) *devFlags {
	return &devFlags{
		exercise: command.Flag("exercise", "Send requests through the fleet, print the results, and exit.").Bool(),
		address:  command.Flag("callers-address", "Address to listen on for callers.").Default("127.0.0.1:0").String(),
		logLevel: command.Flag("log-level", "debug, info, warn or error.").Default("warn").Enum("debug", "info", "warn", "error"),
	}
}

func runDev(flags *devFlags) error {
	logger, err := logging.New(config.Log{Level: *flags.logLevel, Format: "text"}, os.Stderr)
	if err != nil {
		return err
	}
	ctx, _ := stopSignals()
	options := dev.DefaultOptions(logger)
	options.ClientAddress = *flags.address
	fleet, err := dev.Start(ctx, options)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	if *flags.exercise {
		return dev.Exercise(ctx, fleet, os.Stdout)
	}
	fmt.Printf("Base URL for callers: %s\n", fleet.URL())
	fmt.Printf("For operators: dykewingctl --node %s --sidecar %s\n", fleet.NodeAddress(), fleet.ClientAddress())
	fmt.Println("Stop with Ctrl-C.")
	<-ctx.Done()
	return nil
}

func exitOnError(err error, code int) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "dykewing: %v\n", err)
	os.Exit(code)
}
