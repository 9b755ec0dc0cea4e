package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/dykewing/dykewing/internal/standin/engine/model"
)

// Faults are injected into an engine; a POST to PathControl replaces them. The zero value injects none.
type Faults struct {
	Crash              bool    `json:"die,omitempty"`              // breaks all open and new connections
	Hang               bool    `json:"hang,omitempty"`             // accepts requests without generating tokens
	Slow               float64 `json:"slow,omitempty"`             // factor of the step time; 0 means 1
	Drain              bool    `json:"leave,omitempty"`            // drains: rejects new requests, finishes running ones
	TruncateAfter      int     `json:"truncate_after,omitempty"`   // breaks streams after this many tokens, other responses halfway
	WrongContentLength bool    `json:"lie_about_length,omitempty"` // doubles the Content-Length of responses that are not streamed
	DropReports        bool    `json:"drop_reports,omitempty"`     // makes load reports and cache events fail
}

// scale applies the Slow factor to a duration.
func (f *Faults) scale(duration time.Duration) time.Duration {
	if f.Slow <= 0 {
		return duration
	}
	return time.Duration(f.Slow * float64(duration))
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.faults.Store(&faults)
	e.driver.applyFaults(faults)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.SetFaults(faults)
	writeJSON(w, faults)
}

func (e *Engine) serveFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.faults.Load()) }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	if e.faults.Load().DropReports {
		writeEngineError(w, http.StatusServiceUnavailable, "no report")
		return
	}
	load := e.driver.load()
	apps := int(e.applicationRequests.Load())
	writeJSON(w, map[string]any{
		"running": load.Running + min(apps, e.settings.Slots), "waiting": load.Waiting + max(apps-e.settings.Slots, 0),
		"slots": e.settings.Slots, "leaving": load.Draining, "free_share": load.FreeFraction, "version": load.Version,
	})
}

// CacheEventsResponse is the body at PathCacheEvents.
type CacheEventsResponse struct {
	Events []model.CacheEvent `json:"events"`
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	switch {
	case e.faults.Load().DropReports:
		writeEngineError(w, http.StatusServiceUnavailable, "no events")
	case err != nil:
		writeEngineError(w, http.StatusBadRequest, err.Error())
	default:
		writeJSON(w, CacheEventsResponse{Events: e.driver.cacheEvents(after)})
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order model.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	answer := e.driver.order(order)
	w.Header().Set("Content-Type", "application/json")
	if !answer.Accepted {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (e *Engine) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Executions())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
