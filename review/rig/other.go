//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// emptyBody asks for the body of an item that has none, of a batch job whose first item has one. It is
// no case of the review, as it needs no disruption; TROUBLE has no effect.
func emptyBody(r *record, _ bool) (broken bool, err error) {
	f, err := newFleet(r, configuration(1, map[string]any{
		"name": "mark-lot", "host": host, "pathPrefix": "/pule252/", "routeKind": "batch", "service": "tutor-lm", "timeoutMs": 25000,
		"targetMs": 400, "runTargetMs": 20000, "keepS": 60, "maxAttempts": 3, "priority": 2,
	}))
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(3, 3); err != nil { // no workers: no item is listed
		return false, err
	}
	const id = "70b0000000000000"
	raw, _ := json.Marshal(map[string]any{"requests": []map[string]any{
		{"id": id + "00", "path": "/pule252/3/a", "headers": map[string]string{}, "body": "Zmlyc3Q=", "tokens": 1},
		{"id": id + "01", "path": "/pule252/3/b", "headers": map[string]string{}, "body": "", "tokens": 1},
	}})
	front := f.front(f.frontends()[0])
	if status, _ := call(http.MethodPost, front+"/pule252/"+id, id, bytes.NewReader(raw), 4*time.Second); status != http.StatusAccepted {
		return false, fmt.Errorf("batch job not accepted: %d", status)
	}
	status, body := call(http.MethodGet, front+"/-/items/"+id+"?id="+id+"01", "", nil, 3*time.Second)
	r.log("the body of the second item, which is empty: %d %q", status, body)
	fmt.Printf("the body of the second item, which is empty: %d %q\n", status, body)
	if status != http.StatusOK {
		return false, fmt.Errorf("status %d", status)
	}
	return len(body) > 0, nil
}

// unsignedAnswer sends requests on an unsafe route. Workers hand out wrong bytes: 3 in 100 answers of 60
// in 100 workers are successes without a signature. No caller may get one.
func unsignedAnswer(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, configuration(1, map[string]any{
		"name": "verdict", "host": host, "pathPrefix": "/puxa403/", "routeKind": "unsafe", "service": "judge",
		"timeoutMs": 1500, "targetMs": 100, "maxAttempts": 1, "priority": 2,
	}))
	if err != nil {
		return false, err
	}
	defer f.stop()
	for i := range 5 {
		w, err := f.addWorker(fmt.Sprintf("i-judge-%d", i), "judge", 6, 0, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		if trouble && i < 3 {
			w.mutex.Lock()
			w.unsigned = 0.03
			w.mutex.Unlock()
		}
	}
	if err := f.start(3, 3); err != nil {
		return false, err
	}
	unsigned, answered := 0, 0
	for n := 0; n < 400; n++ {
		id := fmt.Sprintf("%016x", n)
		front := f.frontends()[n%3]
		request, _ := http.NewRequest(http.MethodPost, f.front(front)+"/puxa403/2f", strings.NewReader("work of "+id))
		request.Host = host
		request.Header.Set("X-Dykewing-Request-Id", id)
		request.Header.Set("X-Dykewing-Deadline-Ms", "1500")
		client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		response.Body.Close()
		answered++
		if response.StatusCode/100 == 2 && response.Header.Get("X-Dykewing-Response-Stamp") == "" {
			unsigned++
			r.log("MIXED: %s got %d without a signature from %s", id, response.StatusCode, front.name)
		}
	}
	fmt.Printf("%d answers, %d of them successes without a signature\n", answered, unsigned)
	return unsigned > 0, nil
}
