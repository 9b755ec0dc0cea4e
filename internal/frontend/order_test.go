package frontend

import (
	"testing"
	"time"
)

func TestPatienceOfCallers(t *testing.T) {
	var p patience
	if got := p.first("r", 3*time.Second); got != 3*time.Second {
		t.Errorf("%v at first", got)
	}
	if got := p.first("r", 5*time.Second); got != 5*time.Second {
		t.Errorf("%v after a longer one", got)
	}
	if got := p.first("r", time.Second); got != 5*time.Second {
		t.Errorf("%v for a later attempt", got)
	}
}
