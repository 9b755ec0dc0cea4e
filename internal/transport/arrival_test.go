package transport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// faultyServer notes the IDs of requests of which it got a byte, and stalls, closes or resets
// connections at random.
type faultyServer struct {
	listener net.Listener

	mutex   sync.Mutex // guards the fields below
	random  *rand.Rand
	arrived map[string]int
	conns   sync.WaitGroup
}

func newFaultyServer(t *testing.T, seed uint64) *faultyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &faultyServer{listener: listener, random: rand.New(rand.NewPCG(seed, 0)), arrived: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.serve(conn.(*net.TCPConn)) })
		}
	}()
	return s
}

// draw returns a number below n.
func (s *faultyServer) draw(n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(n)
}

func (s *faultyServer) pause() { time.Sleep(time.Duration(s.draw(4)) * time.Millisecond / 2) }

func (s *faultyServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		s.pause()
		if s.draw(5) == 0 {
			_ = conn.SetLinger(0) // reset, also with a request unread
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.arrived[request.Header.Get(api.HeaderRequestID)]++
		s.mutex.Unlock()
		_, _ = io.Copy(io.Discard, request.Body)
		s.pause()
		switch s.draw(5) {
		case 0:
			return
		case 1:
			_ = conn.SetLinger(0)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against a request that counts as not run although it has arrived, or that arrives twice, on
// connections that stall, break, or are given up while they are dialed or written.
func TestNotRunRequestNeverArrives(t *testing.T) {
	const senders, requests = 16, 200
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			server, client := newFaultyServer(t, seed), NewClient(4)
			var mutex sync.Mutex
			outcomes := map[string]api.Outcome{}
			var running sync.WaitGroup
			for sender := range senders {
				running.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(sender+1)))
					for n := range requests {
						id := fmt.Sprintf("%d-%d", sender, n)
						timeout := time.Duration(random.IntN(6000)) * time.Microsecond
						if n%8 == 0 {
							timeout = time.Minute // the outcome is the server's doing
						}
						ctx, cancel := context.WithTimeout(t.Context(), timeout)
						outcome := sendOnce(ctx, client, server.listener.Addr().String(), id, make([]byte, random.IntN(2)*random.IntN(100<<10)))
						cancel()
						mutex.Lock()
						outcomes[id] = outcome
						mutex.Unlock()
					}
				})
			}
			running.Wait()
			client.CloseIdleConnections()
			server.listener.Close()
			server.conns.Wait()
			counts := map[api.Outcome]int{}
			for id, outcome := range outcomes {
				counts[outcome]++
				if n := server.arrived[id]; outcome == api.OutcomeNotRun && n > 0 || n > 1 {
					t.Errorf("request %s arrived %d times, outcome %s", id, n, outcome)
				}
			}
			for _, outcome := range []api.Outcome{api.OutcomeNotRun, api.OutcomeUnknown, api.OutcomeRan} {
				if counts[outcome] == 0 {
					t.Errorf("no request had outcome %s", outcome)
				}
			}
			t.Log(counts)
		})
	}
}

func sendOnce(ctx context.Context, client *http.Client, address, id string, body []byte) api.Outcome {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(body))
	if err != nil {
		return api.OutcomeNotRun
	}
	request.Header.Set(api.HeaderRequestID, id)
	response, failure := Send(client, request, id, "send", "peer")
	if failure != nil {
		return failure.Outcome
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if err != nil {
		return api.OutcomeUnknown
	}
	return api.OutcomeRan
}
