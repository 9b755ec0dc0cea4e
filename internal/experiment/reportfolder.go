package experiment

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Names of the files in a report folder.
const (
	fileJSON  = "report.json"
	fileTable = "report.txt"
	filePlot  = "first-token-%s.png"
	fileBatch = "batch.png"
)

const (
	plotWidth     = 9 * vg.Inch
	plotHeight    = 5 * vg.Inch
	plotQuantiles = 400
	folderMode    = 0o755
)

// WriteFolder writes the report to folder as JSON, as a text table and as plots.
func (r *Report) WriteFolder(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("make report folder: %w", err)
	}
	if err := writeFile(filepath.Join(folder, fileJSON), r.WriteJSON); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(folder, fileTable), r.WriteTable); err != nil {
		return err
	}
	if err := r.plotFirstTokens(folder); err != nil {
		return err
	}
	return r.plotBatch(filepath.Join(folder, fileBatch))
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := write(file); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// plotFirstTokens writes one plot per service of time to first token by quantile,
// with one line per strategy.
func (r *Report) plotFirstTokens(folder string) error {
	lines := map[string][]any{}
	var order []string
	for _, result := range r.Results {
		if result.Requests == 0 {
			continue
		}
		name := string(result.Service)
		if _, ok := lines[name]; !ok {
			order = append(order, name)
		}
		points, err := quantilePoints(result.FirstToken.Histogram)
		if err != nil {
			return err
		}
		lines[name] = append(lines[name], string(result.Strategy), points)
	}
	for _, name := range order {
		figure := plot.New()
		figure.Title.Text = fmt.Sprintf("%s: first token of %s", r.Scenario, name)
		figure.X.Label.Text = "quantile (nines: 1 is 90%, 2 is 99%, 3 is 99.9%)"
		figure.Y.Label.Text = "ms"
		if err := save(figure, lines[name], filepath.Join(folder, fmt.Sprintf(filePlot, name))); err != nil {
			return err
		}
	}
	return nil
}

// quantilePoints returns the latency in ms over the nines of the quantile, from 0
// to 3.
func quantilePoints(encoded string) (plotter.XYs, error) {
	const maxNines = 3.0
	histogram, err := hdrhistogram.Decode([]byte(encoded))
	if err != nil {
		return nil, fmt.Errorf("read histogram: %w", err)
	}
	points := make(plotter.XYs, plotQuantiles)
	for i := range points {
		nines := maxNines * float64(i) / (plotQuantiles - 1)
		points[i].X = nines
		points[i].Y = float64(histogram.ValueAtQuantile(percent*(1-math.Pow(10, -nines)))) / microsecondsPerMillisecond
	}
	return points, nil
}

func (r *Report) plotBatch(path string) error {
	figure := plot.New()
	figure.Title.Text = r.Scenario + ": batch items done in each second"
	figure.X.Label.Text = "s"
	figure.Y.Label.Text = "items"
	var lines []any
	for _, timeline := range r.Timelines {
		points := make(plotter.XYs, len(timeline.Items))
		for i, items := range timeline.Items {
			points[i].X, points[i].Y = float64(i), float64(items)
		}
		lines = append(lines, string(timeline.Strategy), points)
	}
	return save(figure, lines, path)
}

func save(figure *plot.Plot, lines []any, path string) error {
	if err := plotutil.AddLines(figure, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	figure.Legend.Top, figure.Legend.Left = true, true
	if err := figure.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
