package ratelimit

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/route"
)

// A store that was away must be told what others granted within the window only: earlier tokens
// would make it refuse requests below the limit.
func TestSpentElsewhereCountsWithinWindow(t *testing.T) {
	limit := route.RateLimit{Rate: 100, Burst: 100}
	start := time.Unix(1_700_000_000, 0)
	holder := newHolder("h", 1)
	holder.MarkOwnerUnresponsive(start, "away", "t")
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		now := start.Add(at)
		request := holder.NewRequest(now, "t", limit, 1, 10)
		holder.ApplyGrant(now, now, "other", request, Grant{Tokens: 10}, 10)
	}
	end := start.Add(time.Minute)
	got := holder.SpentElsewhere(end, "away", "t")
	if most := int(limit.Rate * tolerance.Window.Seconds()); got > most || got < most-int(limit.Rate*spendingInterval.Seconds()) {
		t.Errorf("%d tokens, want those of the last %v: about %d", got, tolerance.Window, most)
	}
	request := holder.NewRequest(end, "t", limit, 1, 1)
	request.SpentElsewhere = got
	holder.ApplyGrant(end, end, "away", request, Grant{}, 1)
	if got := holder.SpentElsewhere(end, "away", "t"); got != 0 {
		t.Errorf("%d tokens after they were reported", got)
	}
}
