package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of a fleet simulated on a virtual clock. Some requests crash their worker,
// others are harmless (popular or unique), and workers also crash on their own.
const (
	fleetWorkers     = 16
	fleetFirstByte   = 60 * time.Millisecond // until a run begins to respond
	fleetStep        = 10 * time.Millisecond
	fleetRunTime     = 500 * time.Millisecond
	fleetDuration    = 90 * time.Second
	fleetRestart     = 1500 * time.Millisecond
	fleetReportDelay = 250 * time.Millisecond // from a crash to its report
	fleetRequestRate = 100                    // per second
)

// scenario configures one simulation.
type scenario struct {
	crashingEvery    time.Duration // interval of the crashing request; 0: never
	randomCrashEvery time.Duration // interval of crashes without a cause; 0: never
	popular          float64       // fraction of requests that have one of a few popular bodies
	repeats          float64       // fraction of interrupted requests that are retried once
	workers          int           // 0: fleetWorkers
	restart          time.Duration // until a crashed worker has restarted; 0: fleetRestart
}

// fleetResult counts the outcomes of a simulation.
type fleetResult struct {
	runs, late int // of the crashing request: all, and those more than 3 s after its third crash
	harmless   int
	refused    int // harmless requests that were refused
	served     int // harmless requests served
}

type fleetWorker struct {
	id      string
	until   time.Time // restarting until then
	running map[Digest][]time.Time
}

type pendingReport struct {
	at       time.Time
	worker   string
	requests []Digest
	answered []Digest
}

const crashingRequest = Digest("ends workers")

func simulateFleet(settings Settings, sc scenario, seed uint64) (result fleetResult) {
	random := rand.New(rand.NewPCG(seed, 1))
	detector := New(settings)
	workers := make([]*fleetWorker, cmp.Or(sc.workers, fleetWorkers))
	for i := range workers {
		workers[i] = &fleetWorker{id: fmt.Sprint("w", i), running: map[Digest][]time.Time{}}
	}
	var reports []pendingReport
	var retries []Digest
	ids, thirdCrash := 0, time.Time{}
	crash := func(now time.Time, w *fleetWorker) {
		var requests, answered []Digest
		for _, request := range slices.Sorted(maps.Keys(w.running)) {
			if runs := w.running[request]; len(runs) > 0 {
				if now.Sub(runs[0]) >= fleetFirstByte {
					answered = append(answered, request)
				} else {
					requests = append(requests, request)
				}
				if request != crashingRequest && random.Float64() < sc.repeats {
					retries = append(retries, request)
				}
			}
		}
		reports = append(reports, pendingReport{at: now.Add(fleetReportDelay), worker: w.id, requests: requests, answered: answered})
		ids++
		w.id, w.until, w.running = fmt.Sprint("n", ids), now.Add(cmp.Or(sc.restart, fleetRestart)), map[Digest][]time.Time{}
	}
	send := func(now time.Time, request Digest) {
		if granted := !detector.IsQuarantined(request); !granted {
			if granted, _ = detector.Trial(now, request); !granted {
				if request != crashingRequest {
					result.refused++
				}
				return
			}
		}
		at := random.IntN(len(workers))
		w := workers[at]
		for i := 0; now.Before(w.until); i++ {
			if i == len(workers) {
				return // all workers are down
			}
			w = workers[(at+i)%len(workers)]
		}
		w.running[request] = append(w.running[request], now)
		if request != crashingRequest {
			return
		}
		result.runs++
		if !thirdCrash.IsZero() && now.Sub(thirdCrash) > 3*time.Second {
			result.late++
		}
		crash(now, w)
		if result.runs == 3 {
			thirdCrash = now
		}
	}
	nextCrashing, nextRandomCrash := sc.crashingEvery, sc.randomCrashEvery
	for passed := time.Duration(0); passed < fleetDuration; passed += fleetStep {
		now := start.Add(passed)
		for _, w := range workers {
			for request, runs := range w.running {
				for len(runs) > 0 && now.Sub(runs[0]) >= fleetRunTime {
					runs = runs[1:]
					result.served++
					detector.RecordSurvival(request)
				}
				w.running[request] = runs
				if len(runs) == 0 {
					delete(w.running, request)
				}
			}
		}
		for len(reports) > 0 && !reports[0].at.After(now) {
			detector.RecordCrash(now, Crash{Worker: reports[0].worker, Age: fleetReportDelay, Unanswered: reports[0].requests, Answered: reports[0].answered})
			reports = reports[1:]
		}
		detector.Evaluate(now)
		for _, request := range retries {
			result.harmless++
			send(now, request)
		}
		retries = nil
		for random.Float64() < float64(fleetRequestRate)*fleetStep.Seconds() {
			ids++
			request := Digest(fmt.Sprint("r", ids))
			if random.Float64() < sc.popular {
				request = Digest(fmt.Sprint("popular", random.IntN(4)))
			}
			result.harmless++
			send(now, request)
			if random.Float64() > 0.5 {
				break
			}
		}
		if sc.crashingEvery > 0 && passed >= nextCrashing {
			nextCrashing += sc.crashingEvery
			send(now, crashingRequest)
		}
		if sc.randomCrashEvery > 0 && passed >= nextRandomCrash {
			nextRandomCrash += sc.randomCrashEvery
			if w := workers[random.IntN(len(workers))]; !now.Before(w.until) {
				crash(now, w)
			}
		}
	}
	return result
}

var scenarios = []struct {
	name       string
	sc         scenario
	maxRefused float64 // largest fraction of harmless requests that may be refused
}{
	{"one crashing request", scenario{crashingEvery: 300 * time.Millisecond, repeats: 0.8}, 0},
	{"crashing and popular requests", scenario{crashingEvery: 300 * time.Millisecond, popular: 0.5, repeats: 0.8}, 0},
	{"rare crashing and popular requests", scenario{crashingEvery: 5 * time.Second, popular: 0.5, repeats: 0.8}, 0},
	{"workers crash on their own", scenario{randomCrashEvery: 400 * time.Millisecond, popular: 0.5, repeats: 0.8}, 0},
	{"many crashes at once, every interrupted request is retried", scenario{crashingEvery: 30 * time.Millisecond, repeats: 1}, 0},
	// All workers crash within 100 ms while running the same few requests, and for a while no
	// worker is up that could survive one of these.
	{"three workers crash at once, popular requests", scenario{crashingEvery: 30 * time.Millisecond, popular: 0.9, repeats: 0.8, workers: 3}, 0.005},
	// Workers crash sooner than most runs complete.
	{"three workers crash in turn, popular requests", scenario{crashingEvery: 150 * time.Millisecond, popular: 0.9, repeats: 0.8, workers: 3, restart: 300 * time.Millisecond}, 0},
	{"a crashing request and workers that crash on their own", scenario{crashingEvery: time.Second, randomCrashEvery: time.Second, popular: 0.5, repeats: 0.8}, 0},
}

const fleetSeeds = 4

// The crashing request runs at most three times, trials included, from 3 s after its third
// crash on, and hardly any harmless request is refused.
func TestSimulationQuarantinesOnlyCrashingRequests(t *testing.T) {
	for _, each := range scenarios {
		t.Run(each.name, func(t *testing.T) {
			total := fleetResult{}
			for seed := range uint64(fleetSeeds) {
				result := simulateFleet(Settings{}, each.sc, seed)
				if result.late > 3 {
					t.Errorf("seed %d: %d runs later than 3 s after the third crash, of %d", seed, result.late, result.runs)
				}
				total = total.plus(result)
			}
			t.Logf("%+v", total)
			if float64(total.refused) > each.maxRefused*float64(total.harmless) {
				t.Errorf("%d of %d harmless requests were refused", total.refused, total.harmless)
			}
		})
	}
}

func (r fleetResult) plus(other fleetResult) fleetResult {
	return fleetResult{
		runs: r.runs + other.runs, late: r.late + other.late, harmless: r.harmless + other.harmless,
		refused: r.refused + other.refused, served: r.served + other.served,
	}
}

// Popular requests are refused when surviving runs are ignored, which the test above detects.
func TestIgnoringSurvivalsRefusesHarmlessRequests(t *testing.T) {
	total := fleetResult{}
	for _, each := range scenarios {
		result := simulateFleet(Settings{Fault: FaultIgnoreSurvivals}, each.sc, 1)
		t.Logf("%-30s %+v", each.name, result)
		total = total.plus(result)
	}
	if float64(total.refused) <= 0.01*float64(total.harmless) {
		t.Errorf("only %d of %d were refused", total.refused, total.harmless)
	}
}
