package worker

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// unpacedDigest is the digest of 3000 choices among workers that report no pace, mixed with
// load reports, failures, prompts, and workers that come and go. It pins choices that do not
// depend on pace.
const unpacedDigest uint64 = 5457706189100010019

// runScript runs a fixed random sequence of events and choices on a pool and returns a
// digest of the choices.
func runScript(p *Pool) uint64 {
	random := rand.New(rand.NewPCG(7, 7))
	digest := fnv.New64a()
	id := func() string { return fmt.Sprint("w", random.IntN(20)) }
	now := testStart
	for n := range 3000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		switch random.IntN(8) {
		case 0:
			p.RecordLoad(now, id(), Load{Running: random.IntN(10), Waiting: random.IntN(4), Slots: 8})
		case 1:
			p.RecordRefused(now, id())
		case 2:
			p.RecordFull(now, id())
		case 3:
			p.SetOtherLoad(now, id(), random.IntN(9))
		case 4:
			p.Remove(id())
		case 5:
			p.Put(Worker{ID: id(), Service: "s", Zone: string(rune('a' + random.IntN(3))), Slots: 8, Draining: random.IntN(20) == 0})
		case 6:
			p.End(id())
		}
		query := Query{Service: "s", Parts: []Part{{ID: fmt.Sprint("p", random.IntN(5)), Tokens: 100 + 400*random.IntN(9)}, {ID: fmt.Sprint(n), Tokens: 200}}}
		if random.IntN(3) == 0 {
			query.MaxUtilization = 1
		}
		if choice, ok := p.Choose(now, query, random); ok {
			p.Begin(choice.Worker.ID, choice.UncachedTokens)
			p.RecordSent(choice.Worker.ID, query.Parts)
			if random.IntN(2) == 0 {
				p.RecordPromptRead(choice.Worker.ID, choice.UncachedTokens)
				p.End(choice.Worker.ID)
			}
			fmt.Fprintln(digest, n, choice.Worker.ID, choice.UncachedTokens, choice.Load)
		}
	}
	return digest.Sum64()
}

func TestChoicesWithoutPaceAreUnchanged(t *testing.T) {
	sampled := testPool(15)
	sampled.settings = TwoChoiceSettings("a")
	for _, p := range []*Pool{testPool(15), sampled} {
		if got := runScript(p); got != unpacedDigest {
			t.Errorf("digest %d", got)
		}
	}
	paced := testPool(15)
	paced.RecordLoad(testStart, "w3", Load{Running: 1, Slots: 8, Pace: 1.5})
	if runScript(paced) == unpacedDigest {
		t.Error("digest does not change with a reported pace")
	}
}
