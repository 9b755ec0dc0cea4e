package daemon

import (
	"testing"
	"time"
)

// A killed role was not waited for, and the next one with its data folder found the folder
// in use by another process.
func TestAKilledRoleIsWaitedForABoundedTime(t *testing.T) {
	tests := []struct {
		name string
		ends bool
	}{{"it ends", true}, {"it hangs", false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ended, waited := make(chan error), make(chan bool)
			go func() {
				awaitFolder(ended)
				close(waited)
			}()
			if test.ends {
				ended <- nil // taken only by who waits for it
			}
			select {
			case <-waited:
			case <-time.After(time.Minute):
				t.Fatal("it waits without a bound")
			}
		})
	}
}
