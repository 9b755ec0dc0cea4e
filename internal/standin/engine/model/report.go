package model

import "time"

// Load is an engine's report of itself.
type Load struct {
	At        time.Time `json:"at"` // when it was true
	Running   int       `json:"running"`
	Waiting   int       `json:"waiting"`
	FreeShare float64   `json:"free_share"` // of the cache's blocks, 0 to 1
	Leaving   bool      `json:"leaving"`
	Version   string    `json:"version,omitempty"`
}

func (e *Engine) load() Load {
	free := e.settings.CacheBlocks - e.cache.used - e.cache.private
	return Load{
		Running: len(e.running), Waiting: len(e.waiting), Leaving: e.leaving, Version: e.version,
		FreeShare: float64(free) / float64(e.settings.CacheBlocks),
	}
}

// reportsPerLag bounds how many reports are kept for one lag.
const reportsPerLag = 16

// reports keeps past loads, so that the one shown is old by a set lag.
type reports struct{ past []Load }

func (r *reports) record(now time.Time, load Load, lag time.Duration) {
	load.At = now
	last := len(r.past) - 1
	if last >= 0 && now.Sub(r.past[last].At) < lag/reportsPerLag {
		r.past[last] = Load{
			At: r.past[last].At, Running: load.Running, Waiting: load.Waiting,
			FreeShare: load.FreeShare, Leaving: load.Leaving, Version: load.Version,
		}
		return
	}
	r.past = append(r.past, load)
	keep := 0
	for keep+1 < len(r.past) && !r.past[keep+1].At.After(now.Add(-lag)) {
		keep++
	}
	r.past = append(r.past[:0], r.past[keep:]...)
}

// Load gives the report that is visible at the time: the newest that is older
// than the lag.
func (e *Engine) Load(now time.Time) Load {
	visible := now.Add(-e.settings.ReportLag)
	load := Load{At: visible}
	for _, past := range e.reports.past {
		if past.At.After(visible) {
			break
		}
		load = past
	}
	load.At = visible
	return load
}
