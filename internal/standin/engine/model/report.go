package model

import "time"

// Load is a load report.
type Load struct {
	At           time.Time `json:"at"` // time of the report
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	FreeFraction float64   `json:"free_share"` // free fraction of the cache's blocks, 0 to 1
	Draining     bool      `json:"leaving"`
	Version      string    `json:"version,omitempty"`
}

func (e *Engine) load() Load {
	free := e.settings.CacheBlocks - e.cache.used - e.cache.private
	return Load{
		Running: len(e.running), Waiting: len(e.waiting), Draining: e.leaving, Version: e.version,
		FreeFraction: float64(free) / float64(e.settings.CacheBlocks),
	}
}

// reportsPerLag limits the number of reports kept per lag.
const reportsPerLag = 16

// reports keeps past loads, so that a load report can be returned with a lag.
type reports struct{ loads []Load }

func (r *reports) record(now time.Time, load Load, lag time.Duration) {
	load.At = now
	last := len(r.loads) - 1
	if last >= 0 && now.Sub(r.loads[last].At) < lag/reportsPerLag {
		r.loads[last] = Load{
			At: r.loads[last].At, Running: load.Running, Waiting: load.Waiting,
			FreeFraction: load.FreeFraction, Draining: load.Draining, Version: load.Version,
		}
		return
	}
	r.loads = append(r.loads, load)
	keep := 0
	for keep+1 < len(r.loads) && !r.loads[keep+1].At.After(now.Add(-lag)) {
		keep++
	}
	r.loads = append(r.loads[:0], r.loads[keep:]...)
}

// Load returns the newest report that is at least Settings.ReportLag old.
func (e *Engine) Load(now time.Time) Load {
	visible := now.Add(-e.settings.ReportLag)
	load := Load{At: visible}
	for _, past := range e.reports.loads {
		if past.At.After(visible) {
			break
		}
		load = past
	}
	load.At = visible
	return load
}
