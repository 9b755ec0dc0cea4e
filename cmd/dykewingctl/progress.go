package main

import (
	"os"

	"github.com/schollz/progressbar/v3"
)

// progress is a progress bar, shown only if the output is a terminal.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(output *os.File, unit string, total int) *progress {
	info, err := output.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return &progress{}
	}
	return &progress{bar: progressbar.NewOptions(total,
		progressbar.OptionSetWriter(output), progressbar.OptionSetDescription(unit),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(),
	)}
}

func (p *progress) step() {
	if p.bar != nil {
		_ = p.bar.Add(1)
	}
}

func (p *progress) end() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
