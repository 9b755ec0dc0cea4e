package table

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/sim"
)

// keyValueSim simulates one key of a key-value service that loses replies and applies
// some swaps late.
type keyValueSim struct {
	simulation *sim.Simulation
	random     *rand.Rand
	revision   int64
	pair       KeyValue
	applied    map[string]int // number of swaps that took effect, by edit
}

func (s *keyValueSim) swap(edit string, swap SwapRow) SwapDone {
	if swap.Expected != s.pair.Revision {
		return SwapDone{Revision: s.revision, Current: s.pair}
	}
	s.revision += 1 + s.random.Int64N(3) // other keys change too
	s.pair = KeyValue{Value: swap.Value, Revision: s.revision}
	s.applied[edit]++
	return SwapDone{Succeeded: true, Revision: s.revision}
}

// editClient sends one edit and resends it while its outcome is unknown.
type editClient struct {
	service *keyValueSim
	edit    api.TableEdit
	editor  *Editor
	fault   fault
	sends   int
	result  api.EditResult
}

func (c *editClient) send() {
	c.sends++
	c.editor = NewEditor(c.edit, 0)
	c.editor.fault = c.fault
	c.step(Start{})
	editor := c.editor
	c.service.simulation.After(3*time.Second, func() {
		if c.editor == editor {
			c.step(Abort{Reason: "timeout"})
		}
	})
}

func (c *editClient) step(message EditorMessage) {
	for _, action := range c.editor.Step(c.service.simulation.Now(), message) {
		c.execute(action)
	}
}

func (c *editClient) execute(action EditorAction) {
	s := c.service
	requestDelay := time.Duration(s.random.Int64N(int64(20 * time.Millisecond)))
	replyDelay := time.Duration(s.random.Int64N(int64(20 * time.Millisecond)))
	answer := func(message EditorMessage) {
		editor := c.editor
		s.simulation.After(replyDelay, func() {
			if c.editor == editor {
				c.step(message)
			}
		})
	}
	switch action := action.(type) {
	case ReadRow:
		s.simulation.After(action.Delay+requestDelay, func() {
			if s.random.Float64() < 0.2 {
				answer(ReadDone{Err: errors.New("timeout")})
				return
			}
			answer(ReadDone{Pair: s.pair, Revision: s.revision})
		})
	case SwapRow:
		c.executeSwap(action, requestDelay, answer)
	case Finished:
		c.result = action.Result
		if c.result.Outcome == api.EditUnknown && c.sends < 4 {
			c.edit.SinceRevision = max(c.edit.SinceRevision, 1)
			s.simulation.After(time.Millisecond, c.send)
		}
	}
}

func (c *editClient) executeSwap(swap SwapRow, requestDelay time.Duration, answer func(EditorMessage)) {
	s := c.service
	lost := SwapDone{Unknown: true, Err: errors.New("connection broke")}
	switch draw := s.random.Float64(); {
	case draw < 0.15: // the reply is lost
		s.simulation.After(requestDelay, func() { s.swap(c.edit.ID, swap); answer(lost) })
	case draw < 0.3: // the request is lost
		s.simulation.After(requestDelay, func() { answer(lost) })
	case draw < 0.45: // the request takes effect long after its connection broke
		s.simulation.After(requestDelay, func() { answer(lost) })
		late := time.Duration(s.random.Int64N(int64(5 * time.Second)))
		s.simulation.After(late, func() { s.swap(c.edit.ID, swap) })
	case draw < 0.5: // refused by the rate limit
		s.simulation.After(requestDelay, func() { answer(SwapDone{Err: errors.New("rate limit")}) })
	default:
		s.simulation.After(requestDelay, func() { answer(s.swap(c.edit.ID, swap)) })
	}
}

// runEdits has clients edit one row concurrently and returns the first wrong outcome.
func runEdits(seed uint64, injected fault) (string, map[api.EditOutcome]int) {
	simulation := sim.New(seed)
	service := &keyValueSim{simulation: simulation, random: simulation.ForkRandom(), revision: 1, applied: map[string]int{}}
	key := api.RowKey{Service: "model", Place: "east"}
	var clients []*editClient
	for i := range 40 {
		weight := float64(i)
		allowance := i
		c := &editClient{service: service, fault: injected}
		c.edit = api.TableEdit{ID: fmt.Sprintf("edit-%d", i), Key: key, Create: i%3 == 0}
		switch i % 4 {
		case 0, 1:
			c.edit.Change.Weight = &weight
		case 2:
			c.edit.Change.BatchAllowance = &allowance
		case 3:
			c.edit.Delete = i%8 == 7
			c.edit.Change.Weight = &weight
		}
		clients = append(clients, c)
		simulation.After(time.Duration(service.random.Int64N(int64(4*time.Second))), func() {
			if i%5 == 0 {
				c.edit.ExpectedRevision = service.pair.Revision
			}
			c.edit.SinceRevision = 0
			c.send()
		})
	}
	simulation.Run(2 * time.Minute)
	outcomes := map[api.EditOutcome]int{}
	for _, c := range clients {
		outcomes[c.result.Outcome]++
		count := service.applied[c.edit.ID]
		switch {
		case count > 1:
			return fmt.Sprintf("%s took effect %d times", c.edit.ID, count), outcomes
		case c.result.Outcome == api.EditAccepted && count == 0:
			return c.edit.ID + " was reported accepted and never took effect", outcomes
		case (c.result.Outcome == api.EditConflict || c.result.Outcome == api.EditRefused) && count > 0:
			return fmt.Sprintf("%s was reported %s and took effect", c.edit.ID, c.result.Outcome), outcomes
		case c.result.Outcome == "":
			return c.edit.ID + " never ended", outcomes
		}
	}
	return "", outcomes
}

func TestEditorReportsCorrectOutcome(t *testing.T) {
	total := map[api.EditOutcome]int{}
	for seed := range uint64(300) {
		wrong, outcomes := runEdits(seed, "")
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for outcome, count := range outcomes {
			total[outcome] += count
		}
	}
	t.Logf("outcomes: %v", total)
	for _, outcome := range []api.EditOutcome{api.EditAccepted, api.EditConflict, api.EditRefused} {
		if total[outcome] == 0 {
			t.Errorf("no edit ended as %s, so the runs do not cover it", outcome)
		}
	}
	if total[api.EditUnknown] > total[api.EditAccepted]/2 {
		t.Errorf("too many unknown outcomes: %v", total)
	}
}

func TestInjectedEditorFaultIsDetected(t *testing.T) {
	for seed := range uint64(50) {
		if wrong, _ := runEdits(seed, faultAcceptUnknown); wrong != "" {
			t.Logf("detected: %s", wrong)
			return
		}
	}
	t.Error("an editor that reports accepted after a lost reply was not detected")
}

func TestEditorPreservesConcurrentlyEditedCells(t *testing.T) {
	weight, allowance := 5.0, 7
	row := api.Row{Service: "model", Place: "east", Weight: 1, BatchAllowance: 2, Priority: 3, Repeatable: true}
	value, err := Encode(row, "first")
	if err != nil {
		t.Fatal(err)
	}
	editor := NewEditor(api.TableEdit{ID: "mine", Key: row.Key(), Change: api.RowChange{Weight: &weight}}, 0)
	editor.Step(sim.Epoch, Start{})
	editor.Step(sim.Epoch, ReadDone{Pair: KeyValue{Value: value, Revision: 5}, Revision: 9})
	row.BatchAllowance = allowance // another operator's edit
	other, _ := Encode(row, "other")
	actions := editor.Step(sim.Epoch, SwapDone{Current: KeyValue{Value: other, Revision: 10}})
	swap, ok := actions[0].(SwapRow)
	if !ok {
		t.Fatalf("got %#v, want another swap", actions[0])
	}
	stored, err := Decode(swap.Value, 11)
	if err != nil {
		t.Fatal(err)
	}
	if row.Weight = weight; stored.Row != row || swap.Expected != 10 {
		t.Errorf("got %+v at %d, want %+v at 10", stored.Row, swap.Expected, row)
	}
}

func TestEditorRefusesRestoredKeyValueService(t *testing.T) {
	editor := NewEditor(api.TableEdit{ID: "mine", Key: api.RowKey{Service: "model", Place: "east"}, Create: true}, 100)
	editor.Step(sim.Epoch, Start{})
	actions := editor.Step(sim.Epoch, ReadDone{Revision: 60})
	if finished, ok := actions[0].(Finished); !ok || finished.Result.Outcome != api.EditRefused {
		t.Errorf("got %#v, want a refusal", actions[0])
	}
}
