package frontend

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/node"
)

// Guards against accepting requests so late in a shutdown that a stream can't finish
// before the stop timeout.
func TestAcceptTimeIsBoundedDuringShutdown(t *testing.T) {
	for _, test := range []struct{ lifetime, stop, want time.Duration }{
		{100 * time.Millisecond, 8 * time.Second, 300*time.Millisecond + addressExpiryMargin},
		{5 * time.Second, 8 * time.Second, maxAcceptTime},
		{5 * time.Second, 4 * time.Second, 2 * time.Second},
		{5 * time.Second, 10 * time.Minute, maxAcceptTime},
	} {
		f := &Frontend{settings: config.Frontend{AddressLifetime: test.lifetime, ForgetFactor: 3}}
		f.node = &node.Node{Settings: config.Settings{Node: config.Node{StopTimeout: test.stop}}}
		if got := f.acceptTime(); got != test.want {
			t.Errorf("lifetime %v, stop timeout %v: accept time %v, want %v", test.lifetime, test.stop, got, test.want)
		}
	}
}
