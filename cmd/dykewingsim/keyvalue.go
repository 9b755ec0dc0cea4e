package main

import (
	"fmt"
	"net"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/standin/keyvalue"
)

func registerKeyValue(application *kingpin.Application) {
	command := application.Command("keyvalue", "Serve the stand-in of the key-value service (etcd v3 HTTP/JSON mapping).")
	address := command.Flag("address", "Address to listen on.").Default("127.0.0.1:0").String()
	control := command.Flag("control-address", "Address of the control API for faults: PUT "+keyvalue.PathFaults+".").Default("127.0.0.1:0").String()
	seed := command.Flag("seed", "Random seed of the faults.").Default("1").Uint64()
	faults := keyvalue.Faults{}
	command.Flag("outage", "Refuse every call.").BoolVar(&faults.Outage)
	command.Flag("hang", "Accept calls but never respond.").BoolVar(&faults.Hang)
	command.Flag("delay-ms", "Milliseconds before each call takes effect.").IntVar(&faults.DelayMilliseconds)
	command.Flag("lose-answers", "Probability that a write takes effect but its response is lost.").Float64Var(&faults.DropResponses)
	command.Flag("lose-requests", "Probability that a write is lost.").Float64Var(&faults.DropRequests)
	command.Flag("late-effects", "Probability that a write takes effect after its connection has broken.").Float64Var(&faults.DelayTxns)
	command.Flag("late-ms", "Delay of late writes in milliseconds.").IntVar(&faults.TxnDelayMilliseconds)
	command.Flag("requests-per-second", "Refuse calls above this rate; 0 for no limit.").Float64Var(&faults.RequestsPerSecond)
	command.Flag("stuck-watches", "Keep watches open but deliver no events.").BoolVar(&faults.StuckWatches)
	command.Action(action(func() error {
		if err := faults.Validate(); err != nil {
			return err
		}
		server := keyvalue.NewServer()
		server.Seed(*seed)
		server.SetFaults(faults)
		if err := serveControl(*control, server.Control()); err != nil {
			return err
		}
		return serveStandIn(*address, server)
	}))
}

// serveControl serves a stand-in's control API on a separate port, in the
// background.
func serveControl(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	fmt.Printf("Control port on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}
