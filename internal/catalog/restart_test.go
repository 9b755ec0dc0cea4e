package catalog

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/kv"
)

// hangingService has a first watch that delivers nothing, as over a connection that the peer
// closed while the machine was suspended.
type hangingService struct {
	kv.Service
	watches int
	timeout time.Duration // of a watch
}

func (s *hangingService) Range(context.Context, string) (kv.RangeResult, error) {
	return kv.RangeResult{Revision: 1}, nil
}

func (s *hangingService) Watch(ctx context.Context, _ string, _ int64, deliver func(kv.Batch)) error {
	s.watches++
	if s.watches > 1 {
		deliver(kv.Batch{Revision: 2})
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

// After a suspension an open watch waits for the rest of its timeout unless it is restarted.
func TestRestartAfterSuspensionQueriesServiceImmediately(t *testing.T) {
	tests := []struct {
		name  string
		renew bool
		want  time.Duration // contact age one second after the suspension
	}{
		{"restarted", true, time.Second},
		{"not restarted", false, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				service := &hangingService{timeout: time.Minute}
				c := New(Source{ConfigurationPrefix: "config", WorkerPrefix: "workers/"}, service, logrus.NewEntry(logger), &recorder{})
				ctx, stop := context.WithCancel(t.Context())
				go c.Run(ctx)
				time.Sleep(5 * time.Second)
				if test.renew {
					c.RestartWatch()
				}
				time.Sleep(time.Second)
				if age := c.ContactAge(); age != test.want {
					t.Errorf("contact age %v, want %v", age, test.want)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
