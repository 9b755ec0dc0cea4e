package scale

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/dykewing/dykewing/api"
)

// The control budget of one node.
const (
	BudgetProcessor = 30 * time.Millisecond // a second: 3% of a core
	BudgetBytes     = 6_000                 // sent a second
	BudgetMemory    = 32 << 20
	BudgetInForce   = 12 * time.Second
)

// Report is all sizes of a run with the lines fitted through them.
type Report struct {
	Wire    Wire     `json:"wire"`
	Results []Result `json:"results"`
	Slopes  []Slope  `json:"slopes"`
}

// RunAll runs every set of options in turn and fits lines over the nodes.
func RunAll(ctx context.Context, runs []Options) (Report, error) {
	wire, err := MeasureWire(ctx)
	if err != nil {
		return Report{}, err
	}
	report := Report{Wire: wire}
	for _, options := range runs {
		result, err := Run(ctx, options, wire)
		if err != nil {
			report.Slopes = slopes(report.Results)
			return report, err
		}
		report.Results = append(report.Results, result)
	}
	report.Slopes = slopes(report.Results)
	return report, nil
}

// measure is one figure of a role.
type measure struct {
	name  string
	value func(RoleResult) float64
}

var measures = []measure{
	{"processor ms/s", func(r RoleResult) float64 { return milliseconds(r.Processor) }},
	{"sent bytes/s", func(r RoleResult) float64 { return r.Sent }},
	{"exchanges/s", func(r RoleResult) float64 { return r.Messages }},
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// dimensions are the sizes that a run may vary.
var dimensions = []struct {
	name string
	of   func(Result) float64
}{
	{"nodes", func(r Result) float64 { return float64(r.Size.Nodes()) }},
	{"workers", func(r Result) float64 { return float64(r.Size.Workers) }},
	{"services", func(r Result) float64 { return float64(r.Size.Models) }},
	{"tenants", func(r Result) float64 { return float64(r.Size.Tenants) }},
	{"jobs", func(r Result) float64 { return float64(r.Jobs) }},
	{"items of a job", func(r Result) float64 { return float64(r.Items) }},
}

// slopes fits each measure of each role over each dimension that varies
// against the first result while the others stand still; nodes take workers
// and the roles along.
func slopes(results []Result) []Slope {
	var fitted []Slope
	for i, dimension := range dimensions {
		varied := variedOnly(results, i)
		if len(varied) < 2 {
			continue
		}
		sizes := make([]float64, len(varied))
		for j, result := range varied {
			sizes[j] = dimension.of(result)
		}
		for _, role := range []api.Role{api.RoleRouter, api.RoleStore, api.RoleSidecar} {
			for _, measure := range measures {
				values := make([]float64, len(varied))
				for j, result := range varied {
					values[j] = measure.value(result.role(role))
				}
				fitted = append(fitted, Fit(string(role)+" "+measure.name, dimension.name, sizes, values))
			}
		}
	}
	return fitted
}

// variedOnly keeps the results in which only the dimension differs from the
// first one, with the first.
func variedOnly(results []Result, dimension int) []Result {
	if len(results) == 0 {
		return nil
	}
	varied := results[:1:1]
	for _, result := range results[1:] {
		if dimensions[dimension].of(result) == dimensions[dimension].of(results[0]) {
			continue
		}
		alone := true
		for i, other := range dimensions {
			carried := i == dimension || (dimension == 0 && other.name == "workers")
			if !carried && other.of(result) != other.of(results[0]) {
				alone = false
			}
		}
		if alone {
			varied = append(varied, result)
		}
	}
	return varied
}

func (r Result) role(role api.Role) RoleResult {
	i := slices.IndexFunc(r.Roles, func(result RoleResult) bool { return result.Role == role })
	if i < 0 {
		return RoleResult{}
	}
	return r.Roles[i]
}

// Print writes the report as tables.
func (r Report) Print(output io.Writer) {
	fmt.Fprintf(output, "HTTP headers measured on loopback: %d bytes a request, %d an answer; TCP and IP are not in the bytes.\n\n", r.Wire.RequestHeader, r.Wire.ResponseHeader)
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NODES\tWORKERS\tMODELS\tJOBS\tROLE\tCPU MS/S\tMOST\tSENT B/S\tMOST\tEXCHANGES/S\tMEMBERSHIP\tCODEC\tTABLE\tHOMES\tSUMMARY\tCLAIMS")
	for _, result := range r.Results {
		for _, role := range result.Roles {
			fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%s\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f", result.Size.Nodes(), result.Size.Workers, result.Size.Models, result.Jobs, role.Role,
				milliseconds(role.Processor), milliseconds(role.ProcessorMost), role.Sent, role.SentMost, role.Messages)
			for _, part := range []Part{PartMembership, PartCodec, PartTable, PartHomes, PartSummary, PartClaims} {
				fmt.Fprintf(table, "\t%.2f", milliseconds(role.ByPart[part]))
			}
			fmt.Fprintln(table)
		}
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "NODES\tHEAP KB/NODE\tPEAK B/S\tEDITS\tIN FORCE P50\tWORST\tMISSED\tNOT SEEN\tWALL\tCPU")
	for _, result := range r.Results {
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%v\t%v\t%d\t%d\t%v\t%v\n", result.Size.Nodes(), result.HeapBytes>>10, result.PeakBytes, result.InForce.Edits,
			rounded(result.InForce.Median), rounded(result.InForce.Worst), result.InForce.Missing, result.Missing, rounded(result.Wall), rounded(result.Processor))
	}
	fmt.Fprintln(table)
	r.printPurposes(table)
	r.printFaults(table)
	r.printSlopes(table)
	_ = table.Flush()
}

// printPurposes says what the bytes of the largest fleet were for.
func (r Report) printPurposes(table io.Writer) {
	if len(r.Results) == 0 {
		return
	}
	largest := slices.MaxFunc(r.Results, func(a, b Result) int { return cmp.Compare(a.Size.Nodes(), b.Size.Nodes()) })
	fmt.Fprintf(table, "SENT B/S AT %d NODES FOR\tROUTER\tSTORE\tSIDECAR\n", largest.Size.Nodes())
	purposes := map[string]bool{}
	for _, role := range largest.Roles {
		for purpose := range role.SentFor {
			purposes[purpose] = true
		}
	}
	for _, purpose := range slices.Sorted(maps.Keys(purposes)) {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\n", purpose, largest.role(api.RoleRouter).SentFor[purpose],
			largest.role(api.RoleStore).SentFor[purpose], largest.role(api.RoleSidecar).SentFor[purpose])
	}
	fmt.Fprintln(table)
}

func (r Report) printFaults(table io.Writer) {
	fmt.Fprintln(table, "NODES\tCRASH OF\tCRASHED\tSEEN BY\tGONE P50\tWORST\tSTILL SEEN\tNO HOME\tTWO HOMES\tHOMES SETTLED\tPEAK B/S")
	for _, result := range r.Results {
		for _, fault := range result.Faults {
			fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%v\t%v\t%d\t%d\t%d\t%v\t%d\n", result.Size.Nodes(), fault.Name, fault.Crashed, fault.Detection.Observers,
				rounded(fault.Detection.Median), rounded(fault.Detection.Worst), fault.Detection.StillSeeing,
				fault.Homes.WithoutHome, fault.Homes.AtTwoHomes, rounded(fault.Homes.UnsettledLast), fault.PeakBytes)
		}
	}
	fmt.Fprintln(table)
}

func (r Report) printSlopes(table io.Writer) {
	design := DesignSize()
	at := map[string]float64{"nodes": float64(design.Nodes()), "workers": float64(design.Workers), "services": float64(design.Models), "tenants": float64(design.Tenants), "jobs": 2_000, "items of a job": 76_000}
	fmt.Fprintln(table, "MEASURE\tGROWS WITH\tAT 0\tPER UNIT\tAT DESIGN SIZE\tR2")
	for _, slope := range r.Slopes {
		fmt.Fprintf(table, "%s\t%s\t%.3g\t%.3g\t%.4g\t%.3f\n", slope.What, slope.Of, slope.Intercept, slope.PerUnit, slope.At(at[slope.Of]), slope.RSquared)
	}
}

func rounded(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
