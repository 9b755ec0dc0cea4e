//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	callers      = 12
	callersPause = 100 * time.Millisecond // between two requests of a caller
	calmBefore   = 5 * time.Second
	lossTime     = 5 * time.Second // answer_lost of the site file: share 0.5, x 0.05, for_s 5.9
	lossShare    = 0.05
	calmAfter    = 3 * time.Second
)

func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "tutor-lm", "healthPath": "/healthz", "maxConns": 200, "engine": map[string]any{"slots": 12, "kvCapacity": 147261}},
			{"name": "judge", "healthPath": "/healthz", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// lostAnswer sends GET requests on an unsafe route. Two of four workers run some of them and lose the
// answer. Each may run once.
func lostAnswer(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, configuration(1, map[string]any{
		"name": "verdict", "host": host, "pathPrefix": "/puxa403/", "routeKind": "unsafe", "service": "judge",
		"timeoutMs": 1500, "targetMs": 100, "maxAttempts": 1, "priority": 2,
	}))
	if err != nil {
		return false, err
	}
	defer f.stop()
	for i := range 4 {
		if _, err := f.addWorker(fmt.Sprintf("i-judge-%d", i), "judge", 6, 0, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.start(3, 3); err != nil {
		return false, err
	}
	until := time.Now().Add(calmBefore + lossTime + calmAfter)
	var sending sync.WaitGroup
	for caller := range callers {
		sending.Go(func() { f.callUnsafe(caller, until) })
	}
	time.Sleep(calmBefore)
	if trouble {
		r.log("answer_lost begins: 2 of 4 workers lose %.0f in 100 of the answers of requests that they ran", 100*lossShare)
		for _, w := range f.workers[:2] {
			w.setLoss(lossShare)
		}
	}
	time.Sleep(lossTime)
	for _, w := range f.workers {
		w.setLoss(0)
	}
	r.log("answer_lost is over")
	sending.Wait()
	twice, ran := 0, 0
	for id, runs := range f.allRuns() {
		ran++
		if len(runs) > 1 {
			twice++
			r.log("TWICE: request %s, which may run once, ran %d times: at %s, and %.0f ms later at %s",
				id, len(runs), runs[0].worker, float64(runs[1].at.Sub(runs[0].at).Microseconds())/1000, runs[1].worker)
		}
	}
	r.log("result: %d requests ran, %d of them more than once", ran, twice)
	fmt.Printf("%d requests ran, %d of them more than once\n", ran, twice)
	if ran < 100 {
		return false, fmt.Errorf("only %d requests ran", ran)
	}
	return twice > 0, nil
}

// callUnsafe sends requests one after the other, each with an id of its own, and repeats none.
func (f *fleet) callUnsafe(caller int, until time.Time) {
	// A new connection for each request, so that the client's library has no reason to send one again.
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	fronts := f.frontends()
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("%04x%012x", caller, n)
		request, err := http.NewRequest(http.MethodGet, f.front(fronts[rand.N(len(fronts))])+"/puxa403/2f", nil)
		if err != nil {
			return
		}
		request.Host = host
		request.Header.Set("X-Dykewing-Request-Id", id)
		request.Header.Set("X-Dykewing-Deadline-Ms", "1500")
		f.record.log("caller %d: sends GET %s", caller, id)
		response, err := client.Do(request)
		if err != nil {
			f.record.log("caller %d: no answer to %s", caller, id)
		} else {
			raw, err := io.ReadAll(response.Body)
			response.Body.Close()
			f.record.log("caller %d: answer to %s: %d %q %v", caller, id, response.StatusCode, raw, err)
		}
		time.Sleep(callersPause)
	}
}
