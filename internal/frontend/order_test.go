package frontend

import (
	"testing"
	"time"
)

func TestTimeoutTrackerKeepsLongestTimeout(t *testing.T) {
	var tracker timeoutTracker
	if got := tracker.observe("r", 3*time.Second); got != 3*time.Second {
		t.Errorf("first timeout: %v", got)
	}
	if got := tracker.observe("r", 5*time.Second); got != 5*time.Second {
		t.Errorf("after a longer timeout: %v", got)
	}
	if got := tracker.observe("r", time.Second); got != 5*time.Second {
		t.Errorf("after a shorter timeout: %v", got)
	}
}
