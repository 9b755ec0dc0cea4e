//go:build review

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// slashes plays requests whose path begins with two slashes, on a route with the prefix "/". With
// TROUBLE=0 the same paths begin with one.
func slashes(c *run) (broken []string, err error) {
	c.configure(1, []map[string]any{
		{"name": "lookup", "host": host, "pathPrefix": "/", "routeKind": "safe", "service": "kalender", "timeoutMs": 8000, "targetMs": 300, "maxAttempts": 2, "priority": 2},
	}, "kalender")
	for i := range 3 {
		if _, err := c.addWorker(fmt.Sprintf("app-%d", i), "kalender", workerFlags{pieces: 3, pause: 10 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	if err := c.fleet(3, 3); err != nil {
		return nil, err
	}
	start := "/"
	if c.trouble {
		start = "//"
	}
	for n, rest := range []string{"query/a", "query/a/b?day=4", "booking.example/c", "other.example/d"} {
		id, target := fmt.Sprintf("%016x", 0xb000+n), start+rest
		got := c.call(fmt.Sprintf("front-%d", n%3), http.MethodPost, target, id, map[string]string{"X-Dykewing-Deadline-Ms": "8000"}, []byte("body of "+id))
		c.note("client sent %s: POST %s, Host %s; status %d, complete in the protocol: %t", id, target, host, got.status, got.err == nil)
		time.Sleep(100 * time.Millisecond) // for the report of the worker
		ran := c.reported(id, "run")
		if len(ran) == 0 {
			return nil, fmt.Errorf("request %s did not run", id)
		}
		sent, err := url.ParseRequestURI(target)
		if err != nil {
			return nil, err
		}
		for _, r := range ran {
			if r.Path != sent.Path || r.Host != host {
				broken = append(broken, fmt.Sprintf("request %s was sent with path %s for host %s; worker %s ran it with path %s for host %s (target as received: %s)", id, sent.Path, host, r.Worker, r.Path, r.Host, r.Target))
			}
		}
	}
	return broken, nil
}
