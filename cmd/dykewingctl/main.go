// Command dykewingctl is the operator's tool for the routing table, batch jobs and
// nodes.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/transport"
)

const exitFailure = 1

// session holds the flags and clients shared by all subcommands.
type session struct {
	node    string // internal address of any node
	sidecar string // callers' address of a sidecar
	output  string
	timeout time.Duration
	client  *http.Client
	out     io.Writer
}

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func main() {
	application := kingpin.New("dykewingctl", "Operators' tool of dykewing.")
	s := &session{client: transport.NewClient(1), out: os.Stdout}
	application.Flag("node", "Internal address (IP:port) of any node.").Envar("DYKEWING_NODE").StringVar(&s.node)
	application.Flag("sidecar", "Callers' address (IP:port) of a sidecar.").Envar("DYKEWING_SIDECAR").StringVar(&s.sidecar)
	application.Flag("output", "table or json.").Default(outputTable).EnumVar(&s.output, outputTable, outputJSON)
	application.Flag("timeout", "Timeout of one call.").Default("10s").DurationVar(&s.timeout)
	registerNodes(application, s)
	registerJobs(application, s, action)
	registerQuarantine(application, s)
	registerLimits(application, s)
	registerTable(application, s)
	registerTraffic(application, s)
	registerCost(application, s)
	registerExplain(application)
	kingpin.MustParse(application.Parse(os.Args[1:]))
}

// print writes value as JSON, or as aligned rows under the header.
func (s *session) print(value any, header string, rows []string) error {
	if s.output == outputJSON {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, header)
	for _, row := range rows {
		fmt.Fprintln(writer, row)
	}
	return writer.Flush()
}

// action wraps a subcommand as a kingpin action. An error is printed on one line
// and the program exits with a non-zero code.
func action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := run(); err != nil {
			fmt.Fprintf(os.Stderr, "dykewingctl: %v\n", err)
			os.Exit(exitFailure)
		}
		return nil
	}
}
