package daemon

import (
	"testing"
	"time"
)

// Without the wait, the next role with the same data folder fails because it is still
// locked. A role that hangs must not block the stop.
func TestWaitForKilledRoleIsBounded(t *testing.T) {
	tests := []struct {
		name string
		ends bool
	}{{"it ends", true}, {"it hangs", false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ended, waited := make(chan error), make(chan bool)
			go func() {
				awaitRoleEnd(ended)
				close(waited)
			}()
			if test.ends {
				ended <- nil // blocks until awaitRoleEnd receives
			}
			select {
			case <-waited:
			case <-time.After(time.Minute):
				t.Fatal("awaitRoleEnd did not return within a minute")
			}
		})
	}
}
