package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/standin/engine"
)

const readHeaderTimeout = 10 * time.Second

func registerEngine(application *kingpin.Application) {
	command := application.Command("engine", "Serve one stand-in engine.")
	settings := engine.DefaultSettings()
	address := command.Flag("address", "Address to listen on.").Default("127.0.0.1:0").String()
	command.Flag("slots", "Maximum number of concurrent requests.").Default(fmt.Sprint(settings.Slots)).IntVar(&settings.Slots)
	command.Action(action(func() error { return serveStandIn(*address, engine.New(settings)) }))
}

// serveStandIn serves a stand-in's handler until it fails.
func serveStandIn(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	fmt.Printf("Serving on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	return server.Serve(listener)
}
