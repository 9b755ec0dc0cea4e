package ratelimit

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/route"
)

// A backup that takes over must not grant a burst that the primary owner may have granted.
func TestBackupAccumulatesNoBurst(t *testing.T) {
	limit := route.RateLimit{Rate: 100, Burst: 100}
	start := time.Unix(1_700_000_000, 0)
	owner := NewOrderOwner(tolerance)
	request := TokenRequest{Tenant: "t", Limit: limit, Version: 1}
	owner.HandleRequest(start, request, true)
	owner.HandleRequest(start.Add(time.Minute), request, true)
	request.Tokens = 1000
	if got, most := owner.HandleRequest(start.Add(time.Minute), request, false).Tokens, orderSlackShare*tolerance.slack(limit); float64(got) > most {
		t.Errorf("%d tokens at once after a minute as a backup, want at most %.0f", got, most)
	}
}
