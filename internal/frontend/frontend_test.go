package frontend

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/node"
)

// TestRequestsAreTakenForABoundedPartOfAPlannedStop: on the bench (hunt-b785-3 of
// sbandel-dykewing-grown) a stream taken 3.4 s after SIGTERM could not end in time.
func TestRequestsAreTakenForABoundedPartOfAPlannedStop(t *testing.T) {
	for _, test := range []struct{ lifetime, stop, want time.Duration }{
		{100 * time.Millisecond, 8 * time.Second, 300*time.Millisecond + forgetMargin},
		{5 * time.Second, 8 * time.Second, mostTaking},
		{5 * time.Second, 4 * time.Second, 2 * time.Second},
		{5 * time.Second, 10 * time.Minute, mostTaking},
	} {
		f := &Frontend{settings: config.Frontend{AddressLifetime: test.lifetime, ForgetFactor: 3}}
		f.node = &node.Node{Settings: config.Settings{Node: config.Node{StopTimeout: test.stop}}}
		if got := f.forgetTime(); got != test.want {
			t.Errorf("lifetime %v, stop %v: requests are taken for %v, want %v", test.lifetime, test.stop, got, test.want)
		}
	}
}
