package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Print writes the report as a text table.
func (r *Report) Print(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "SENT\tRIGHT\tWRONG\tNOT SENT")
	fmt.Fprintf(table, "%d\t%d\t%d\t%d\n\n", r.Sent, r.Correct, r.Wrong, r.Dropped)
	fmt.Fprintln(table, "LATENCY\tCOUNT\tP50\tP95\tP99\tP99.9\tMOST")
	for _, row := range []struct {
		name    string
		latency Latency
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"whole", r.Total}} {
		l := row.latency
		fmt.Fprintf(table, "%s\t%d\t%v\t%v\t%v\t%v\t%v\n", row.name, l.Count, microseconds(l.P50), microseconds(l.P95), microseconds(l.P99), microseconds(l.P999), microseconds(l.Max))
	}
	if len(r.Failures) > 0 {
		fmt.Fprintln(table, "\nFAILURE\tCOUNT")
	}
	for _, name := range slices.Sorted(maps.Keys(r.Failures)) {
		fmt.Fprintf(table, "%s\t%d\n", name, r.Failures[name])
	}
	_ = table.Flush()
	for _, example := range r.Examples {
		fmt.Fprintf(output, "example: %s\n", example)
	}
}

func microseconds(value int64) time.Duration { return time.Duration(value) * time.Microsecond }
