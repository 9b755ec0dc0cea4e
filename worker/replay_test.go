package worker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of a replay of overload without reports from leaders: many processes choose by
// their own observations, the arrival rate alternates between two levels, and three tenths
// of the workers start to drain halfway through.
const (
	replayStep        = 20 * time.Millisecond
	replayLength      = 8 * time.Second
	replayServiceTime = 200 * time.Millisecond // of a request at a worker
	replayNotice      = time.Second            // delay until a process learns that a worker drains
	replayDrainAt     = 4 * time.Second
	replayDrainShare  = 0.3
)

// arrivalRate returns the requests arriving at a time, as a fraction of the workers' slots
// that they occupy in steady state.
func arrivalRate(at time.Duration) float64 {
	if at%(4*time.Second) < 2*time.Second {
		return 0.1
	}
	return 0.4
}

// replayResult is the result of a replay.
type replayResult struct {
	sent    int
	queued  int // sent to a worker without a free slot
	leaving int // sent to a draining worker by a process that had been notified
	busiest int // maximum of concurrent requests at one worker
}

// replay runs the load on the given number of workers with one process per ten of them.
// Random numbers come from fixed seeds.
func replay(workers int, settings func(zone string) Settings) (result replayResult) {
	list := testWorkers(workers)
	random := rand.New(rand.NewPCG(7, 8))
	pools := make([]*Pool, workers/10)
	for i := range pools {
		pools[i] = NewPool(settings(fmt.Sprint("z", i%5)))
		for _, w := range list {
			pools[i].Put(w)
		}
	}
	leaves := map[string]bool{}
	for _, w := range list[:int(replayDrainShare*float64(workers))] {
		leaves[w.ID] = true
	}
	type run struct {
		pool   *Pool
		worker string
		until  time.Duration
	}
	var running []run
	held := map[string]int{}
	for at := time.Duration(0); at < replayLength; at += replayStep {
		now := testStart.Add(at)
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.until > at {
				return false
			}
			held[r.worker]--
			r.pool.End(r.worker)
			r.pool.RecordLoad(now, r.worker, Load{Running: held[r.worker], Slots: 8})
			return true
		})
		if at == replayDrainAt+replayNotice {
			markDraining(pools, list, leaves)
		}
		arrivals := int(arrivalRate(at) * float64(8*workers) * float64(replayStep) / float64(replayServiceTime))
		for range arrivals {
			p := pools[random.IntN(len(pools))]
			choice, ok := p.Choose(now, Query{Service: "s"}, random)
			if !ok {
				continue
			}
			id := choice.Worker.ID
			p.Begin(id, 0)
			p.RecordSent(id, nil)
			if held[id]++; held[id] > 8 {
				result.queued++
			}
			if leaves[id] && at >= replayDrainAt+replayNotice {
				result.leaving++
			}
			result.sent++
			result.busiest = max(result.busiest, held[id])
			running = append(running, run{pool: p, worker: id, until: at + replayServiceTime})
		}
	}
	return result
}

func markDraining(pools []*Pool, list []Worker, leaves map[string]bool) {
	for _, p := range pools {
		for _, w := range list {
			if leaves[w.ID] {
				w.Draining = true
				p.Put(w)
			}
		}
	}
}

// maxQueuedPercent is the percentage of requests that may wait at a full worker while more
// than half of all slots are free.
const maxQueuedPercent = 1

// Draining workers get no requests, and few requests wait at a full worker, at any fleet
// size.
func TestTheWorstLoadIsSpread(t *testing.T) {
	for _, workers := range []int{250, 500} {
		got := replay(workers, DefaultSettings)
		t.Logf("%d workers: %+v", workers, got)
		if got.leaving > 0 {
			t.Errorf("%d workers: %d requests sent to draining workers", workers, got.leaving)
		}
		if got.queued*100 > maxQueuedPercent*got.sent {
			t.Errorf("%d workers: %d of %d requests waited at a full worker", workers, got.queued, got.sent)
		}
	}
}
