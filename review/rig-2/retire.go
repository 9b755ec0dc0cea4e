//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/dykewing/dykewing/internal/standin/address"
)

// retire plays a store machine that is to be emptied while another one is replaced as planned (the new one
// first, then SIGTERM), and the loss of one disk afterwards.
func retire(c *run) (broken []string, err error) {
	c.configure(1, []map[string]any{
		{"name": "rebook", "host": host, "pathPrefix": "/rebook/", "routeKind": "batch", "service": "sprog", "timeoutMs": 30000, "targetMs": 400, "runTargetMs": 20000, "keepS": 60, "maxAttempts": 3, "priority": 2, "resumable": true},
	}, "sprog")
	for i := range 6 {
		if _, err := c.addWorker(fmt.Sprintf("lm-%d", i), "sprog", workerFlags{events: 20, pause: 10 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	if err := c.fleet(3, 3); err != nil {
		return nil, err
	}
	var jobs []string
	for n := range 8 {
		id := fmt.Sprintf("7c41e09b52d6%04x", n)
		if err := c.submit("front-0", "/rebook/", id, newItems("/rebook/run/", fmt.Sprintf("%04x", n), 10)); err != nil {
			return nil, err
		}
		jobs = append(jobs, id)
	}
	time.Sleep(3 * time.Second)
	if c.trouble {
		if err := c.emptyAndReplace(); err != nil {
			return nil, err
		}
	}
	for _, id := range jobs {
		got := answer{}
		unreadable := await(20*time.Second/time.Duration(len(jobs)), "job "+id, func() bool {
			got = c.call("front-1", http.MethodGet, "/-/lots/"+id+"?afterRevision=0", "", nil, nil)
			return got.status == http.StatusOK
		})
		c.note("client reads job %s: status %d", id, got.status)
		if unreadable != nil {
			broken = append(broken, fmt.Sprintf("job %s was accepted and can't be read: status %d", id, got.status))
		}
	}
	return broken, nil
}

// emptyAndReplace empties store-2, replaces store-1 by store-3, and takes the disk of store-3.
func (c *run) emptyAndReplace() error {
	const emptied, replaced, successor = "store-2", "store-1", "store-3"
	raw, _ := json.Marshal(map[string]any{"deadlineS": 8.7})
	asked := time.Now()
	c.platform.Put("op/retire/"+emptied, raw)
	c.note("the operator asks for %s to be emptied", emptied)
	time.Sleep(time.Second)
	c.addMember(&member{id: successor, role: "store", ip: address.New().Addr().String(), folder: filepath.Join(c.folder, "data-"+successor)})
	if err := c.start(successor); err != nil {
		return err
	}
	c.note("%s starts, the successor of %s", successor, replaced)
	var removed, stopped bool
	began := time.Now()
	for time.Since(asked) < 9*time.Second {
		if status := string(c.platform.Value("status/retire/" + emptied)); !removed && strings.Contains(status, "completed") {
			removed = true
			c.note("the request to empty %s is answered completed", emptied)
			c.signal(emptied, syscall.SIGKILL)
			os.RemoveAll(c.members[emptied].folder)
		}
		if !stopped && time.Since(began) > 4700*time.Millisecond {
			stopped = true
			c.signal(replaced, syscall.SIGTERM)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	c.signal(successor, syscall.SIGKILL)
	_ = c.members[successor].process.Wait()
	os.RemoveAll(c.members[successor].folder)
	c.note("%s has lost its disk", successor)
	time.Sleep(2 * time.Second)
	if err := c.start(successor); err != nil {
		return err
	}
	c.note("%s starts again", successor)
	time.Sleep(8 * time.Second)
	return nil
}
