//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents = 60
	plainPieces  = 30
	eventPause   = 100 * time.Millisecond
	// Length of the freeze and of the crash; both begin together.
	freezeTime = 3200 * time.Millisecond
	crashTime  = 1500 * time.Millisecond
)

// freeze plays a frontend that freezes while a worker crashes and is back before the frontend wakes. The
// answers of the workers carry no length.
func freeze(c *run) ([]string, error) {
	c.configure(1, []map[string]any{
		{"name": "query", "host": host, "pathPrefix": "/query/", "routeKind": "streaming", "service": "sprog", "timeoutMs": 15000, "targetMs": 300, "gapTargetMs": 500, "maxAttempts": 1, "priority": 0},
		{"name": "lookup", "host": host, "pathPrefix": "/lookup/", "routeKind": "safe", "service": "kalender", "timeoutMs": 15000, "targetMs": 300, "maxAttempts": 2, "priority": 2},
	}, "sprog", "kalender")
	var workers []*workerProcess
	for i := range 6 {
		lm, err := c.addWorker(fmt.Sprintf("lm-%d", i), "sprog", workerFlags{events: streamEvents, pieces: 1, pause: eventPause, unframed: true})
		if err != nil {
			return nil, err
		}
		app, err := c.addWorker(fmt.Sprintf("app-%d", i), "kalender", workerFlags{pieces: plainPieces, pause: eventPause, unframed: true})
		if err != nil {
			return nil, err
		}
		workers = append(workers, lm, app)
	}
	if err := c.fleet(3, 3); err != nil {
		return nil, err
	}
	answers := c.sendAll(36, 18)
	time.Sleep(time.Second)
	if c.trouble {
		if err := c.freezeAndCrash(workers[:2]); err != nil {
			return nil, err
		}
	}
	return c.judgeWhole(answers()), nil
}

// sendAll sends requests to all frontends, the first of them for streams and the others for plain answers,
// and returns a function that waits for their answers.
func (c *run) sendAll(count, streams int) func() map[string]answer {
	var mutex sync.Mutex
	var sending sync.WaitGroup
	answers := map[string]answer{}
	for n := range count {
		frontend, path := fmt.Sprintf("front-%d", n%3), "/query/a"
		if n >= streams {
			path = "/lookup/a"
		}
		id := fmt.Sprintf("%016x", 0xa000+n)
		sending.Go(func() {
			c.note("client sends %s (%s) to %s", id, path, frontend)
			got := c.call(frontend, "POST", path, id, map[string]string{"X-Dykewing-Deadline-Ms": "15000"}, []byte("body of "+id))
			c.note("client has the answer to %s: status %d, %d bytes, complete in the protocol: %t (%v)", id, got.status, len(got.body), got.err == nil, got.err)
			mutex.Lock()
			defer mutex.Unlock()
			answers[id] = got
		})
	}
	return func() map[string]answer {
		sending.Wait()
		return answers
	}
}

func (c *run) freezeAndCrash(crashing []*workerProcess) error {
	c.signal("front-0", syscall.SIGSTOP)
	for _, w := range crashing {
		c.crash(w)
	}
	time.Sleep(crashTime)
	for _, w := range crashing {
		if err := c.restart(w); err != nil {
			return err
		}
	}
	time.Sleep(freezeTime - crashTime)
	c.signal("front-0", syscall.SIGCONT)
	return nil
}

// judgeWhole lists the successes that look complete and lack a part of the worker's answer.
func (c *run) judgeWhole(answers map[string]answer) (broken []string) {
	for id, got := range answers {
		if got.err != nil || got.status != 200 {
			continue
		}
		total := plainPieces
		if strings.HasPrefix(got.header.Get("Content-Type"), "text/event-stream") {
			total = streamEvents
		}
		if parts := strings.Count(got.body, "piece "); parts != total {
			broken = append(broken, fmt.Sprintf("the answer to %s is a success that ends as complete, with %d of %d pieces; its worker wrote it whole: %t", id, parts, total, len(c.reported(id, "whole")) > 0))
		}
	}
	return broken
}
