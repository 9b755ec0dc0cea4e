package model

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// driver steps an engine in virtual time and checks its actions.
type driver struct {
	engine   *Engine
	now      time.Time
	next     Handle
	wanted   map[Handle]int // output tokens of requests in flight
	got      map[Handle]int
	stepping time.Duration
	problems []string
}

func newDriver(settings Settings) *driver {
	return &driver{
		engine: New(settings, rand.New(rand.NewPCG(1, 1))), now: time.Unix(0, 0),
		wanted: map[Handle]int{}, got: map[Handle]int{},
	}
}

func smallSettings() Settings {
	settings := DefaultSettings()
	settings.MaxSequences, settings.CacheBlocks, settings.StepTokens = 4, 40, 64
	return settings
}

func (d *driver) problem(format string, arguments ...any) {
	d.problems = append(d.problems, fmt.Sprintf(format, arguments...))
}

func (d *driver) step(message Message) {
	for _, action := range d.engine.Step(d.now, message) {
		switch action := action.(type) {
		case StartStep:
			if d.stepping != 0 {
				d.problem("a step started within a step")
			}
			d.stepping = action.Duration
		case Emit:
			d.emit(action.Tokens)
		case Reject:
			delete(d.wanted, action.Handle)
		}
	}
	d.check()
}

func (d *driver) emit(tokens []Token) {
	for _, token := range tokens {
		wanted, ok := d.wanted[token.Handle]
		if !ok {
			d.problem("token of %d, which has ended", token.Handle)
		}
		if token.Index != d.got[token.Handle] {
			d.problem("token %d of %d after %d tokens", token.Index, token.Handle, d.got[token.Handle])
		}
		d.got[token.Handle]++
		if token.Last != (d.got[token.Handle] == wanted) {
			d.problem("last token of %d is number %d of %d", token.Handle, token.Index+1, wanted)
		}
		if token.Last {
			delete(d.wanted, token.Handle)
		}
	}
}

func (d *driver) check() {
	e := d.engine
	if len(e.running) > e.settings.MaxSequences {
		d.problem("%d sequences run", len(e.running))
	}
	if e.cache.used+e.cache.private > e.cache.capacity {
		d.problem("%d blocks are in use", e.cache.used+e.cache.private)
	}
	if e.statistics.WaitedBehind > 0 {
		d.problem("a request waited while a lower priority ran")
	}
}

func (d *driver) submit(priority, prompt, output, prefix int) Handle {
	d.next++
	blocks := make([]uint64, prompt/d.engine.settings.BlockTokens)
	for i := range blocks {
		blocks[i] = uint64(prefix*1000 + i)
	}
	d.wanted[d.next] = output
	d.step(Submit{Request: Request{
		Handle: d.next, ID: fmt.Sprint(d.next), Priority: priority, Blocks: blocks, PromptTokens: prompt, OutputTokens: output,
	}})
	return d.next
}

func (d *driver) finishStep() {
	if d.stepping == 0 {
		return
	}
	d.now = d.now.Add(d.stepping)
	d.stepping = 0
	d.step(StepDone{})
}

func (d *driver) drain() {
	for range 100_000 {
		if d.stepping == 0 {
			break
		}
		d.finishStep()
	}
	if d.engine.InFlight() != 0 || len(d.wanted) != 0 {
		d.problem("%d in flight and %d unanswered after all steps", d.engine.InFlight(), len(d.wanted))
	}
	if d.engine.cache.used != 0 || d.engine.cache.private != 0 {
		d.problem("an idle engine holds %d shared and %d private blocks", d.engine.cache.used, d.engine.cache.private)
	}
}

func (d *driver) play(steps int, draw func(int) int) {
	for range steps {
		switch draw(5) {
		case 0, 1:
			d.submit(draw(3), 1+draw(300), 1+draw(30), draw(4))
		case 2, 3:
			d.finishStep()
		case 4:
			handle := Handle(draw(int(d.next)+1) + 1)
			delete(d.wanted, handle)
			d.step(Cancel{Handle: handle})
		}
	}
	d.drain()
}

func TestEngineCompletesEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(smallSettings())
		d.play(80, func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "choice") })
		if len(d.problems) > 0 {
			t.Fatal(d.problems)
		}
	})
}

func TestIgnorePriorityFaultIsDetected(t *testing.T) {
	settings := smallSettings()
	settings.IgnorePriority = true
	d := newDriver(settings)
	d.play(2000, rand.New(rand.NewPCG(3, 3)).IntN)
	if len(d.problems) == 0 {
		t.Fatal("the injected fault was not detected")
	}
}

func TestHigherPriorityPreemptsAtNextStep(t *testing.T) {
	d := newDriver(smallSettings())
	for range 4 {
		d.submit(0, 64, 50, 1)
	}
	d.finishStep()
	online := d.submit(1, 32, 2, 2)
	d.finishStep() // the step in progress at its arrival
	d.finishStep()
	if d.got[online] != 1 {
		t.Fatalf("%d tokens after its first step, want 1", d.got[online])
	}
	if d.engine.Statistics().Preemptions != 1 {
		t.Fatalf("%d preemptions, want 1", d.engine.Statistics().Preemptions)
	}
	d.drain()
	if len(d.problems) > 0 {
		t.Fatal(d.problems)
	}
}

func TestStepTimeGrowsWithBatchContextAndPrefill(t *testing.T) {
	settings := DefaultSettings()
	base := settings.StepTime(1, 100, 0)
	for name, other := range map[string]time.Duration{
		"batch": settings.StepTime(2, 100, 0), "context": settings.StepTime(1, 200, 0), "prefill": settings.StepTime(1, 100, 50),
	} {
		if other <= base {
			t.Errorf("%s: step takes %v, not more than %v", name, other, base)
		}
	}
}

func TestCachedPrefixIsNotRecomputed(t *testing.T) {
	d := newDriver(DefaultSettings())
	d.submit(0, 320, 1, 1)
	d.drain()
	first := d.engine.Statistics().Prefilled
	d.submit(0, 320, 1, 1)
	d.drain()
	if second := d.engine.Statistics().Prefilled - first; second != 1 {
		t.Fatalf("second run computed %d prompt tokens, want 1", second)
	}
}

func TestReportsLagAndEventsAreDelayedWithGaps(t *testing.T) {
	settings := DefaultSettings()
	settings.EventLoss = 0.5
	d := newDriver(settings)
	d.submit(0, 160, 200, 1)
	if d.engine.Load(d.now).Running != 0 {
		t.Fatal("load report has no lag")
	}
	for i := range 20 {
		d.submit(0, 160, 200, i+2)
		d.finishStep()
	}
	if d.engine.Load(d.now.Add(settings.ReportLag)).Running == 0 {
		t.Fatal("load report does not follow the load")
	}
	if len(d.engine.CacheEvents(d.now.Add(-time.Minute), 0)) != 0 {
		t.Fatal("events were published before their delay")
	}
	events := d.engine.CacheEvents(d.now.Add(settings.EventDelay), 0)
	gaps := 0
	for i, event := range events {
		if i > 0 && event.Sequence != events[i-1].Sequence+1 {
			gaps++
		}
	}
	if len(events) == 0 || gaps == 0 {
		t.Fatalf("%d events with %d gaps", len(events), gaps)
	}
}

func TestStaleOrderIsRejected(t *testing.T) {
	d := newDriver(DefaultSettings())
	send := func(epoch uint64, version string) bool {
		return d.engine.Step(d.now, Order{Epoch: epoch, Version: version})[0].(OrderResponse).Accepted
	}
	if !send(2, "b") || send(2, "c") || send(1, "a") {
		t.Fatal("orders were not fenced by their epoch")
	}
	if version, epoch := d.engine.Version(); version != "b" || epoch != 2 {
		t.Fatalf("version %q of epoch %d is loaded", version, epoch)
	}
}

func TestDrainingEngineFinishesAndRejects(t *testing.T) {
	d := newDriver(DefaultSettings())
	d.submit(0, 32, 5, 1)
	d.step(SetDraining{Draining: true})
	d.submit(0, 32, 5, 1)
	d.drain()
	statistics := d.engine.Statistics()
	if statistics.Finished != 1 || statistics.Rejected != 1 {
		t.Fatalf("finished %d and rejected %d, want 1 and 1", statistics.Finished, statistics.Rejected)
	}
}
