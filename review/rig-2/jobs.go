//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// item is an item of a submitted batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// result is an entry of a job's results.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// newItems returns items under a path, with ids that begin with a prefix.
func newItems(path, prefix string, count int) (items []item) {
	for n := range count {
		id := fmt.Sprintf("%s%012x", prefix, n)
		items = append(items, item{
			ID: id, Path: path + id, Tokens: 940, Body: base64.StdEncoding.EncodeToString([]byte("body of " + id)),
			Headers: map[string]string{"X-Dykewing-Token-Count": "540,400", "X-Dykewing-Prompt-Prefix": "9c2e41:300," + id + ":240"},
		})
	}
	return items
}

// submit sends a batch job until it is answered with 202.
func (c *run) submit(frontend, path, id string, items []item) error {
	body, _ := json.Marshal(map[string]any{"requests": items})
	return await(startTimeout, "acceptance of job "+id, func() bool {
		got := c.call(frontend, http.MethodPost, path+id, id, map[string]string{"Content-Type": "application/json"}, body)
		c.note("client submits job %s with %d items to %s: status %d (%v)", id, len(items), frontend, got.status, got.err)
		return got.status == http.StatusAccepted
	})
}

// page is what a read of a job's results returned.
type page struct {
	Total   int      `json:"total"`
	Results []result `json:"results"`
	Next    int      `json:"nextToken"`
}

// readPage reads results of a job from a position on.
func (c *run) readPage(frontend, id string, from int) (p page, status int) {
	got := c.call(frontend, http.MethodGet, fmt.Sprintf("/-/lots/%s?afterRevision=%d", id, from), "", nil, nil)
	if got.status != http.StatusOK || got.err != nil {
		return page{}, got.status
	}
	_ = json.Unmarshal([]byte(got.body), &p)
	return p, got.status
}

// readAll reads the results of a job until all are listed.
func (c *run) readAll(frontend, id string, timeout time.Duration) (results []result, err error) {
	total := -1
	err = await(timeout, "results of job "+id, func() bool {
		if p, status := c.readPage(frontend, id, len(results)); status == http.StatusOK {
			total, results = p.Total, append(results, p.Results...)
		}
		if len(results) == total {
			return true
		}
		time.Sleep(500 * time.Millisecond)
		return false
	})
	for _, r := range results {
		c.note("client reads of job %s: item %s is %s, %d pieces", id, r.ID, r.State, strings.Count(r.Text, "piece "))
	}
	return results, err
}

// wholeText is the text of an item's whole output.
func wholeText(id string, events int) string {
	lines := make([]string, 0, events)
	for n := 1; n <= events; n++ {
		lines = append(lines, piece(n, id))
	}
	return strings.Join(lines, "\n")
}
