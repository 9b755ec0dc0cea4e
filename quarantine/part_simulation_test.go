package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// partScenario configures one simulation of requests whose prompts share parts. Requests with a bad
// part crash their worker; all requests have the first part.
type partScenario struct {
	workers          int
	soundRate        float64 // per second
	middleParts      int     // number of second parts among which sound requests choose
	badEvery         time.Duration
	badParts         []string
	badPartsTogether bool          // each bad request has all bad parts, else one of them
	randomCrashEvery time.Duration // interval of crashes without a cause; 0: never
}

type partResult struct {
	bad, late     int // runs with a bad part: all, and those later than 3 s after its fifth crash
	sound         int // sound requests from 6 s after the fifth crash on
	refused       int // of these
	refusedBefore int // sound requests refused before
}

// partRun is a run with its digests: the request, then its parts.
type partRun struct {
	digests []Digest
	began   time.Time
}

type partWorker struct {
	id    string
	until time.Time // restarting until then
	runs  []partRun
}

// maxPartRuns is how many requests with a bad part may reach workers later than 3 s after its fifth
// crash.
const maxPartRuns = 3

func simulateParts(settings Settings, sc partScenario, seed uint64) (result partResult) {
	random := rand.New(rand.NewPCG(seed, 2))
	detector, workers, ids := New(settings), make([]*partWorker, sc.workers), 0
	for i := range workers {
		workers[i] = &partWorker{id: fmt.Sprint("w", i)}
	}
	type report struct {
		at    time.Time
		crash Crash
	}
	var reports []report
	crash := func(now time.Time, w *partWorker) {
		unanswered, answered := map[Digest]bool{}, map[Digest]bool{}
		for _, run := range w.runs {
			for _, digest := range run.digests {
				if now.Sub(run.began) >= fleetFirstByte {
					answered[digest] = true
				} else {
					unanswered[digest] = true
				}
			}
		}
		c := Crash{Worker: w.id, Age: fleetReportDelay}
		for digest := range unanswered {
			if !answered[digest] {
				c.Unanswered = append(c.Unanswered, digest)
			}
		}
		for digest := range answered {
			c.Answered = append(c.Answered, digest)
		}
		slices.Sort(c.Unanswered)
		slices.Sort(c.Answered)
		reports = append(reports, report{now.Add(fleetReportDelay), c})
		ids++
		w.id, w.until, w.runs = fmt.Sprint("n", ids), now.Add(fleetRestart), nil
	}
	// send returns the worker that runs a request, or nil if it is refused or none is up.
	send := func(now time.Time, parts ...Digest) (w *partWorker, refused bool) {
		ids++
		digests := append([]Digest{Digest(fmt.Sprint("r", ids))}, parts...)
		for _, digest := range slices.Backward(digests) {
			if detector.IsQuarantined(digest) {
				if granted, _ := detector.Trial(now, digest); !granted {
					return nil, true
				}
				break
			}
		}
		at := random.IntN(len(workers))
		for i := range workers {
			if w := workers[(at+i)%len(workers)]; !now.Before(w.until) {
				w.runs = append(w.runs, partRun{digests: digests, began: now})
				return w, false
			}
		}
		return nil, false
	}
	crashes, fifth := map[string]int{}, map[string]time.Time{}
	nextBad, nextRandom := 2*time.Second, sc.randomCrashEvery
	for passed := time.Duration(0); passed < fleetDuration; passed += fleetStep {
		now := start.Add(passed)
		for _, w := range workers {
			for len(w.runs) > 0 && now.Sub(w.runs[0].began) >= fleetRunTime {
				for _, digest := range w.runs[0].digests {
					detector.RecordSurvival(digest)
				}
				w.runs = w.runs[1:]
			}
		}
		for len(reports) > 0 && !reports[0].at.After(now) {
			detector.RecordCrash(now, reports[0].crash)
			reports = reports[1:]
		}
		detector.Evaluate(now)
		if random.Float64() < sc.soundRate*fleetStep.Seconds() {
			_, refused := send(now, "first", Digest(fmt.Sprint("middle", random.IntN(sc.middleParts))))
			known := true
			for _, part := range sc.badParts {
				known = known && !fifth[part].IsZero() && now.Sub(fifth[part]) >= 6*time.Second
			}
			switch {
			case known && refused:
				result.sound, result.refused = result.sound+1, result.refused+1
			case known:
				result.sound++
			case refused:
				result.refusedBefore++
			}
		}
		if passed >= nextBad {
			nextBad += sc.badEvery
			chosen := sc.badParts
			if !sc.badPartsTogether {
				at := random.IntN(len(sc.badParts))
				chosen = sc.badParts[at : at+1]
			}
			parts := []Digest{"first"}
			for _, part := range chosen {
				parts = append(parts, Digest(part))
			}
			if w, _ := send(now, parts...); w != nil {
				result.bad++
				if at := fifth[chosen[0]]; !at.IsZero() && now.Sub(at) > 3*time.Second {
					result.late++
				}
				for _, part := range chosen {
					if crashes[part]++; crashes[part] == 5 {
						fifth[part] = now
					}
				}
				crash(now, w)
			}
		}
		if sc.randomCrashEvery > 0 && passed >= nextRandom {
			nextRandom += sc.randomCrashEvery
			if w := workers[random.IntN(len(workers))]; !now.Before(w.until) {
				crash(now, w)
			}
		}
	}
	return result
}

var usualParts = partScenario{workers: 18, soundRate: 60, middleParts: 40, badEvery: 200 * time.Millisecond, badParts: []string{"bad"}}

// A bad part reaches few workers once it must be known, whatever else its requests hold, and the
// sound requests that share the first part are served.
func TestSimulationQuarantinesOnlyCrashingParts(t *testing.T) {
	usual := usualParts
	with := func(change func(sc *partScenario)) partScenario {
		sc := usual
		change(&sc)
		return sc
	}
	tests := []struct {
		name string
		sc   partScenario
	}{
		{"one bad part", usual},
		{"bad requests come fast", with(func(sc *partScenario) { sc.badEvery = 50 * time.Millisecond })},
		{"bad requests come slowly", with(func(sc *partScenario) { sc.badEvery = 3 * time.Second })},
		{"rare sound parts", with(func(sc *partScenario) { sc.middleParts = 1000 })},
		{"few popular sound parts", with(func(sc *partScenario) { sc.middleParts = 3 })},
		{"few sound requests", with(func(sc *partScenario) { sc.soundRate = 1 })},
		{"two bad parts", with(func(sc *partScenario) { sc.badParts = []string{"bad", "worse"} })},
		{"two bad parts that come together", with(func(sc *partScenario) { sc.badParts, sc.badPartsTogether = []string{"bad", "worse"}, true })},
		{"workers crash for other reasons too", with(func(sc *partScenario) { sc.randomCrashEvery = time.Second })},
		{"many workers", with(func(sc *partScenario) { sc.workers, sc.soundRate = 1000, 100 })},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(fleetSeeds) {
				result := simulateParts(Settings{}, test.sc, seed)
				t.Logf("seed %d: %+v", seed, result)
				if result.late > maxPartRuns*len(test.sc.badParts) {
					t.Errorf("seed %d: %d runs later than 3 s after the fifth crash", seed, result.late)
				}
				if result.refused > result.sound/2 {
					t.Errorf("seed %d: %d of %d sound requests were refused", seed, result.refused, result.sound)
				}
			}
		})
	}
}

// The checks of the simulation detect a detector that ignores survivals, and one that finds nothing.
func TestPartSimulationDetectsFaults(t *testing.T) {
	few := usualParts
	few.soundRate = 1
	if result := simulateParts(Settings{Fault: FaultIgnoreSurvivals}, few, 1); result.refused <= result.sound/2 {
		t.Errorf("without survivals: %+v", result)
	}
	if result := simulateParts(Settings{CrashThreshold: 1 << 20}, usualParts, 1); result.late <= maxPartRuns {
		t.Errorf("without a quarantine: %+v", result)
	}
}
