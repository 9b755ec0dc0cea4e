package placement

import (
	"testing"

	"github.com/dykewing/dykewing/api"
)

func TestTakeoverReservesSlotsOfPreviousHome(t *testing.T) {
	worker := api.Worker{ID: "w", Slots: 8}
	takeover := NewTakeover()
	if adopted := takeover.SetWorkers([]api.Worker{worker}); len(adopted) != 1 {
		t.Fatalf("adopted %v, want the worker", adopted)
	}
	steps := []struct {
		running, own, slots int
	}{
		{running: 6, own: 0, slots: 2}, // all six sent by the previous home
		{running: 7, own: 2, slots: 3}, // one of them finished
		{running: 9, own: 2, slots: 3}, // the inherited count never increases
		{running: 3, own: 3, slots: 8}, // none left
		{running: 8, own: 0, slots: 8}, // later requests are not inherited
	}
	if slots := takeover.Adjust(worker).Slots; slots != 1 {
		t.Fatalf("%d slots before the first report, want 1", slots)
	}
	for i, step := range steps {
		takeover.RecordReport(worker.ID, step.running, step.own)
		if slots := takeover.Adjust(worker).Slots; slots != step.slots {
			t.Fatalf("step %d: %d slots, want %d", i, slots, step.slots)
		}
	}
	if adopted := takeover.SetWorkers([]api.Worker{worker}); len(adopted) != 0 {
		t.Fatal("a worker that was kept was adopted again")
	}
	takeover.SetWorkers(nil)
	takeover.SetWorkers([]api.Worker{worker})
	for range maxFailedReports {
		takeover.RecordFailure(worker.ID)
	}
	if slots := takeover.Adjust(worker).Slots; slots != 8 {
		t.Fatalf("%d slots of a worker that never reports, want all", slots)
	}
}
