//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	newRoutes     = 10                      // changes of the configuration, each of which adds a route
	sendFor       = 1600 * time.Millisecond // on each new route, from its change on
	sendInterval  = 80 * time.Millisecond
	maxPause      = 300 * time.Millisecond // more between two changes
	itemsOfNew    = 2
	shortEvents   = 20
	finish        = 18 * time.Second // finishS
	changeAfter   = 3 * time.Second
	readInterval  = 500 * time.Millisecond
	newRouteKeepS = 60
)

// newRoute adds batch routes by new configurations, one at a time, and sends batch jobs on each from its
// change on. Workers fail nothing, nothing is ended and no route goes: no item may be abandoned.
func newRoute(r *record, trouble bool) (broken bool, err error) {
	batch := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeKind": "batch", "service": "tutor-lm", "timeoutMs": 25000,
			"targetMs": 400, "runTargetMs": 20000, "keepS": newRouteKeepS, "maxAttempts": 3, "priority": 2,
		}
	}
	routes := []map[string]any{batch("mark-lot", "/pule252/")}
	for n := range newRoutes {
		routes = append(routes, batch(fmt.Sprintf("new-lot-%d", n), newPrefix(n)))
	}
	before := routes[:1]
	if !trouble {
		before = routes
	}
	f, err := newFleet(r, configuration(1, before...))
	if err != nil {
		return false, err
	}
	defer f.stop()
	for i := range 18 { // as many as the site has
		if _, err := f.addWorker(fmt.Sprintf("i-tutor-%d", i), "tutor-lm", 12, shortEvents, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.start(7, 3); err != nil { // as many as the site has
		return false, err
	}
	time.Sleep(changeAfter)
	var accepted []string
	for n := range newRoutes {
		if trouble {
			time.Sleep(rand.N(maxPause))
			f.configure(configuration(2+n, routes[:2+n]...))
		}
		accepted = append(accepted, f.sendJobs(n)...)
	}
	r.log("%d batch jobs were accepted with 202", len(accepted))
	abandoned, unlisted := f.results(accepted)
	r.log("result: %d batch jobs accepted; items abandoned: %d, not listed: %d", len(accepted), abandoned, unlisted)
	fmt.Printf("%d batch jobs accepted; items abandoned: %d, not listed: %d\n", len(accepted), abandoned, unlisted)
	if len(accepted) < 20 {
		return false, fmt.Errorf("only %d batch jobs were accepted", len(accepted))
	}
	return abandoned > 0, nil
}

func newPrefix(number int) string { return fmt.Sprintf("/kuri%d/", 118+number) }

// sendJobs sends batch jobs on a new route, one to each frontend at each interval, each once, and returns
// those that were accepted.
func (f *fleet) sendJobs(number int) (accepted []string) {
	var mutex sync.Mutex
	var sending sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < sendFor; n++ {
		for at, front := range f.frontends() {
			id := fmt.Sprintf("%02x%02x%012x", 16+at, number, n)
			sending.Go(func() {
				status, _ := call(http.MethodPost, f.front(front)+newPrefix(number)+id, id, bytes.NewReader(newJob(newPrefix(number), id)), 4*time.Second)
				f.record.log("batch job %s sent to %s: %d", id, front.name, status)
				if status == http.StatusAccepted {
					mutex.Lock()
					defer mutex.Unlock()
					accepted = append(accepted, id)
				}
			})
		}
		time.Sleep(sendInterval)
	}
	sending.Wait()
	return accepted
}

func newJob(prefix, id string) []byte {
	var items []map[string]any
	for n := range itemsOfNew {
		item := fmt.Sprintf("%s%02x", id, n)
		items = append(items, map[string]any{
			"id": item, "path": prefix + "3/" + item, "tokens": 940, "body": base64.StdEncoding.EncodeToString([]byte("work of " + item)),
			"headers": map[string]string{"X-Dykewing-Model": "m", "X-Dykewing-Token-Count": "540,400", "X-Dykewing-Prompt-Prefix": "9c2e41:300," + item + ":240"},
		})
	}
	raw, _ := json.Marshal(map[string]any{"requests": items})
	return raw
}

// results reads each batch job until all its items are listed, and counts those that are abandoned and
// those that are not listed when finishS is over.
func (f *fleet) results(accepted []string) (abandoned, unlisted int) {
	fronts := f.frontends()
	open := accepted
	for deadline := time.Now().Add(finish); len(open) > 0 && time.Now().Before(deadline); time.Sleep(readInterval) {
		var left []string
		for n, id := range open {
			status, raw := call(http.MethodGet, f.front(fronts[n%len(fronts)])+"/-/lots/"+id+"?afterRevision=0", "", nil, 2500*time.Millisecond)
			var page struct {
				Total   int `json:"total"`
				Results []struct {
					ID    string `json:"id"`
					State string `json:"state"`
				} `json:"results"`
			}
			if status != http.StatusOK || json.Unmarshal(raw, &page) != nil || len(page.Results) < page.Total {
				left = append(left, id)
				continue
			}
			for _, result := range page.Results {
				if result.State == "abandoned" {
					abandoned++
					runs := f.allRuns()
					f.record.log("MIXED: item %s of batch job %s is abandoned; it ran %d times at workers, which failed none; its route stands in the newest configuration", result.ID, id, len(runs[result.ID]))
				}
			}
		}
		open = left
	}
	return abandoned, len(open) * itemsOfNew
}
