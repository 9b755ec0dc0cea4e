package frontend

import (
	"testing"
	"time"
)

func TestTimeoutTrackerKeepsLongestTimeout(t *testing.T) {
	var p timeoutTracker
	if got := p.observe("r", 3*time.Second); got != 3*time.Second {
		t.Errorf("first timeout: %v", got)
	}
	if got := p.observe("r", 5*time.Second); got != 5*time.Second {
		t.Errorf("after a longer timeout: %v", got)
	}
	if got := p.observe("r", time.Second); got != 5*time.Second {
		t.Errorf("after a shorter timeout: %v", got)
	}
}
