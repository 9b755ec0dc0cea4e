package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

const (
	uploadBytes  = 4 << 20 // more than the kernel buffers of a connection
	partialBody  = "the first part of an answer"
	resetDelay   = 2 * time.Millisecond
	resetRepeats = 40
)

// earlyServer answers each request as soon as its header has arrived, with a body that has neither a
// length nor chunks, and ends the connection in the given way while the upload goes on.
func earlyServer(t *testing.T, readFirst int64, end func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	t.Cleanup(func() {
		listener.Close()
		served.Wait()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			served.Go(func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, request.Body, readFirst)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+partialBody)
				end(conn.(*net.TCPConn))
			})
		}
	}()
	return listener.Addr().String()
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	conn.Close()
}

// upload sends a long body and returns the body of the answer if it was taken for a whole one.
func upload(t *testing.T, client *http.Client, address string, chunked bool) (body string, whole bool) {
	t.Helper()
	var upload io.Reader = bytes.NewReader(make([]byte, uploadBytes))
	if chunked {
		upload = io.MultiReader(upload) // hides the length
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, upload)
	if err != nil {
		t.Fatal(err)
	}
	response, failure := Send(client, request, "", "send", "peer")
	if failure != nil {
		if failure.Outcome != api.OutcomeUnknown {
			t.Errorf("outcome %s after a part was sent", failure.Outcome)
		}
		return "", false
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return string(raw), err == nil
}

// Guards against an answer that is taken for whole although its connection was reset: the kernel reports the
// reset only once, which may be to the upload.
func TestResetDuringUploadIsSeenByReader(t *testing.T) {
	ends := []struct {
		name string
		end  func(conn *net.TCPConn)
	}{
		{"at once", reset},
		{"after a pause", func(conn *net.TCPConn) { time.Sleep(resetDelay); reset(conn) }},
		{"while it reads", func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, 1); reset(conn) }},
		// The kernel resets a connection that is closed with unread bytes.
		{"close with unread upload", func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, 1); conn.Close() }},
	}
	for _, end := range ends {
		for _, chunked := range []bool{false, true} {
			for _, readFirst := range []int64{0, uploadBytes / 2, uploadBytes - 64<<10} {
				t.Run(fmt.Sprintf("%s, chunked %t, after %d bytes", end.name, chunked, readFirst), func(t *testing.T) {
					address, client := earlyServer(t, readFirst, end.end), NewClient(2)
					broken := 0
					for range resetRepeats {
						if _, whole := upload(t, client, address, chunked); whole {
							broken++
						}
					}
					if broken > 0 {
						t.Errorf("%d of %d answers that were reset were taken for whole", broken, resetRepeats)
					}
				})
			}
		}
	}
}

// Guards against sound early answers that are rejected: their sender ends them before the upload is complete, and
// reads on.
func TestEarlyAnswerWithOrderlyEndIsWhole(t *testing.T) {
	ends := []struct {
		name string
		end  func(conn *net.TCPConn)
	}{
		{"half-close, then reads the upload", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
		{"reads on for a while before it ends", func(conn *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, conn, uploadBytes/4)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
		{"half-close, then reads nothing", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * resetDelay)
		}},
	}
	for _, end := range ends {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", end.name, chunked), func(t *testing.T) {
				address, client := earlyServer(t, 0, end.end), NewClient(2)
				for range resetRepeats {
					if body, whole := upload(t, client, address, chunked); !whole || !strings.HasPrefix(body, partialBody) || len(body) != len(partialBody) {
						t.Fatalf("whole %t: %q", whole, body)
					}
				}
			})
		}
	}
}

// brokenConn is a connection whose writes fail and whose reads find an end.
type brokenConn struct {
	net.Conn
	writeError error
}

func (c brokenConn) Write([]byte) (int, error)        { return 0, c.writeError }
func (c brokenConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c brokenConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against an end that is taken for that of the peer although a write found the connection broken.
func TestEndAfterBrokenWriteIsAnError(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		orderly bool
	}{
		{"reset", syscall.ECONNRESET, false},
		{"time-out of keep-alive or retransmissions", syscall.ETIMEDOUT, false},
		{"unreachable", syscall.EHOSTUNREACH, false},
		{"end of the peer", syscall.EPIPE, true},
		{"deadline of the write", os.ErrDeadlineExceeded, true},
		{"none", nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn := &countingConn{Conn: brokenConn{writeError: test.err}}
			if test.err != nil {
				conn.Conn = brokenConn{writeError: &net.OpError{Op: "write", Err: os.NewSyscallError("write", test.err)}}
			}
			_, _ = conn.Write([]byte("b"))
			if _, err := conn.Read(make([]byte, 1)); (err == io.EOF) != test.orderly {
				t.Errorf("read returned %v", err)
			}
		})
	}
}
