//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	cutTime    = 1500 * time.Millisecond
	jobTimeout = 60 * time.Second
)

// cut plays a worker that is cut off from all machines, crashes behind the cut and starts again there
// before the cut heals. It answers items of a batch job and streams of clients, which carry no length.
func cut(c *run) ([]string, error) {
	c.configure(1, []map[string]any{
		{"name": "query", "host": host, "pathPrefix": "/query/", "routeKind": "streaming", "service": "sprog", "timeoutMs": 15000, "targetMs": 300, "gapTargetMs": 500, "maxAttempts": 1, "priority": 0},
		{"name": "rebook", "host": host, "pathPrefix": "/rebook/", "routeKind": "batch", "service": "sprog", "timeoutMs": 30000, "targetMs": 400, "runTargetMs": 20000, "keepS": 60, "maxAttempts": 3, "priority": 2, "resumable": true},
	}, "sprog")
	var workers []*workerProcess
	for i := range 10 {
		w, err := c.addWorkerBehind(fmt.Sprintf("lm-%d", i), "sprog", workerFlags{events: streamEvents, pause: eventPause, unframed: true})
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if err := c.fleet(3, 3); err != nil {
		return nil, err
	}
	const job = "7c41e09b52d6a3f8"
	if err := c.submit("front-0", "/rebook/", job, newItems("/rebook/run/", "e5b2", 20)); err != nil {
		return nil, err
	}
	answers := c.sendAll(18, 18)
	time.Sleep(2 * time.Second)
	if c.trouble {
		if err := c.cutAndCrash(c.busiest(workers)); err != nil {
			return nil, err
		}
	}
	results, err := c.readAll("front-1", job, jobTimeout)
	return append(cutResults(results), c.judgeWhole(answers())...), err
}

// busiest returns the worker that has begun most runs.
func (c *run) busiest(workers []*workerProcess) (best *workerProcess) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	runs := map[string]int{}
	for _, r := range c.reports {
		if r.What == "run" {
			runs[r.Worker]++
		}
	}
	for _, w := range workers {
		if best == nil || runs[w.flags.id] > runs[best.flags.id] {
			best = w
		}
	}
	return best
}

func (c *run) cutAndCrash(w *workerProcess) error {
	c.note("worker %s is cut off from all machines", w.flags.id)
	w.path.cut()
	healed := time.NewTimer(cutTime)
	time.Sleep(100 * time.Millisecond)
	c.crash(w)
	time.Sleep(500 * time.Millisecond)
	if err := c.restart(w); err != nil {
		return err
	}
	<-healed.C
	c.note("the cut heals")
	w.path.heal()
	return nil
}

// cutResults lists the completed results whose text is not the whole output of the item.
func cutResults(results []result) (broken []string) {
	for _, r := range results {
		if r.State == "completed" && r.Text != wholeText(r.ID, streamEvents) {
			broken = append(broken, fmt.Sprintf("item %s is listed as completed, but its text is not the whole output: %d of %d bytes", r.ID, len(r.Text), len(wholeText(r.ID, streamEvents))))
		}
	}
	return broken
}
