//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/dykewing/dykewing/internal/standin/address"
)

const (
	jobs          = 8
	itemsPerJob   = 10
	itemEvents    = 60
	replaceAfter  = 100 * time.Millisecond // from the request to empty a machine to the loss of another
	successorWait = time.Second            // x of replace_core
	emptyFor      = 8700 * time.Millisecond
	wipedFor      = 2 * time.Second
	recover       = 12 * time.Second // recoverS
	readFor       = 15 * time.Second
)

// emptied asks for one of three storage machines to be emptied. Another one is gone for good right after
// and replaced. Once the first is emptied it is removed, and later one machine loses its disk. Every
// batch job that was accepted before must be readable in the end.
func emptied(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, configuration(1, map[string]any{
		"name": "mark-lot", "host": host, "pathPrefix": "/pule252/", "routeKind": "batch", "service": "tutor-lm", "timeoutMs": 25000,
		"targetMs": 400, "runTargetMs": 20000, "keepS": 60, "maxAttempts": 3, "priority": 2,
	}))
	if err != nil {
		return false, err
	}
	defer f.stop()
	for i := range 4 {
		if _, err := f.addWorker(fmt.Sprintf("i-tutor-%d", i), "tutor-lm", 12, itemEvents, 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.start(3, 3); err != nil {
		return false, err
	}
	var accepted []string
	for n := range jobs {
		if id := fmt.Sprintf("70b%013x", n); f.submit(id) {
			accepted = append(accepted, id)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if len(accepted) < jobs {
		return false, fmt.Errorf("%d of %d batch jobs were accepted", len(accepted), jobs)
	}
	if trouble {
		if err := f.emptyAndReplace(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(emptyFor + wipedFor)
	}
	time.Sleep(recover)
	unread := 0
	for _, id := range accepted {
		if !f.readable(id) {
			unread++
			r.log("LOST: batch job %s, accepted with 202, can't be read at any frontend", id)
		}
	}
	r.log("result: %d batch jobs accepted, %d of them can't be read", len(accepted), unread)
	fmt.Printf("%d batch jobs accepted, %d of them can't be read\n", len(accepted), unread)
	return unread > 0, nil
}

// emptyAndReplace is the disruption.
func (f *fleet) emptyAndReplace() error {
	order := rand.Perm(3)
	leaving, gone, other := f.machines[order[0]], f.machines[order[1]], f.machines[order[2]]
	began := time.Now()
	f.record.log("operator: %s is to be emptied", leaving.name)
	f.platform.Put("op/retire/"+leaving.name, []byte(`{"deadlineS":8.7}`))
	time.Sleep(replaceAfter)
	f.record.log("%s is gone for good", gone.name)
	f.lose(gone)
	time.Sleep(successorWait)
	successor := &machine{name: "storage-4", role: "store", ip: address.New().Addr().String()}
	f.machines = append(f.machines, successor)
	if err := f.prepare(successor, order[1]); err != nil {
		return err
	}
	if err := f.run(successor); err != nil {
		return err
	}
	completed := false
	for time.Since(began) < emptyFor {
		if !completed && strings.Contains(string(f.platform.Value("status/retire/"+leaving.name)), `"completed"`) {
			completed = true
			f.record.log("status/retire/%s is completed: the machine is removed, its disk included", leaving.name)
			f.lose(leaving)
		}
		time.Sleep(50 * time.Millisecond)
	}
	wiped := []*machine{other, successor}[rand.N(2)]
	f.record.log("%s loses its disk", wiped.name)
	f.lose(wiped)
	time.Sleep(wipedFor)
	return f.run(wiped)
}

// lose kills a machine's process and removes its disk.
func (f *fleet) lose(m *machine) {
	f.signal(m, syscall.SIGKILL)
	<-m.ended
	_ = os.RemoveAll(filepath.Join(f.folder, m.name))
}

// submit sends a batch job until it is accepted, as PROTOCOL.md lets clients send it again.
func (f *fleet) submit(id string) bool {
	var items []map[string]any
	for n := range itemsPerJob {
		items = append(items, map[string]any{
			"id": fmt.Sprintf("%s%02x", id, n), "path": fmt.Sprintf("/pule252/3/%s%02x", id, n), "tokens": 940,
			"headers": map[string]string{"X-Dykewing-Model": "m", "X-Dykewing-Token-Count": "540,400", "X-Dykewing-Prompt-Prefix": fmt.Sprintf("9c2e41:300,%s%02x:240", id, n)},
			"body":    base64.StdEncoding.EncodeToString([]byte("work of " + id)),
		})
	}
	raw, _ := json.Marshal(map[string]any{"requests": items})
	fronts := f.frontends()
	for n := range 4 {
		status, _ := call(http.MethodPost, f.front(fronts[n%len(fronts)])+"/pule252/"+id, id, bytes.NewReader(raw), 4*time.Second)
		f.record.log("batch job %s sent to %s: %d", id, fronts[n%len(fronts)].name, status)
		if status == http.StatusAccepted {
			return true
		}
	}
	return false
}

// readable reads a batch job from the start, again after each failure and at all frontends.
func (f *fleet) readable(id string) bool {
	last := map[string]int{}
	for deadline := time.Now().Add(readFor / jobs); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, front := range f.frontends() {
			status, raw := call(http.MethodGet, f.front(front)+"/-/lots/"+id+"?afterRevision=0", "", nil, 2500*time.Millisecond)
			last[front.name] = status
			if status == http.StatusOK {
				f.record.log("batch job %s read at %s: %d bytes", id, front.name, len(raw))
				return true
			}
		}
	}
	f.record.log("batch job %s: last answers %v", id, last)
	return false
}
