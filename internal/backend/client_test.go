package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/rawhttp"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/worker"
)

// Headers of echoProtocol.
const (
	headerID     = "Test-Id"
	headerNotRun = "Test-Not-Run"
	headerStamp  = "Test-Stamp"
)

// echoProtocol is a Protocol that reads only the ID, the stamp and the refusal of a response.
type echoProtocol struct{ Protocol }

func (echoProtocol) WriteCall(header http.Header, call Call) { header.Set(headerID, call.ID) }

func (echoProtocol) ReadResponse(_ int, header http.Header) ResponseInfo {
	return ResponseInfo{RequestID: header.Get(headerID), NotRun: header.Get(headerNotRun) != "", Stamped: header.Get(headerStamp) != ""}
}

func (echoProtocol) ReportPath() string { return "/report" }

func (echoProtocol) DecodeReport([]byte) (Report, error) { return Report{Running: 1}, nil }

// scriptedWorker serves connections by a function that writes what it likes for each request. n counts
// the requests of the connection from 1.
func scriptedWorker(t *testing.T, write func(conn net.Conn, request *http.Request, n int)) worker.Worker {
	return worker.Worker{ID: "w", Address: rawhttp.Serve(t, write)}
}

func writeResponse(conn net.Conn, status int, id, headers, body string) {
	if id != "" {
		headers += headerID + ": " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// newTestClient returns a client that keeps idle connections longer than a test may be held up.
func newTestClient() *Client {
	client := NewClient(echoProtocol{})
	client.client.Transport.(*transport.RoundTripper).IdleConnTimeout = time.Hour
	return client
}

func send(t *testing.T, c *Client, w worker.Worker, id string) (*WorkerResponse, *api.Error) {
	t.Helper()
	return c.Send(t.Context(), WorkerRequest{Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: []byte("b"), Call: Call{ID: id}, ID: id, Worker: w})
}

// Guards against logs that do not tell on what evidence an attempt counts as not run.
func TestEvidenceOfAttemptIsLogged(t *testing.T) {
	const refusal = headerNotRun + ": 1\r\n"
	listening := scriptedWorker(t, func(conn net.Conn, request *http.Request, _ int) {
		writeResponse(conn, http.StatusServiceUnavailable, request.Header.Get(headerID), refusal, "")
	})
	closed := scriptedWorker(t, func(net.Conn, *http.Request, int) {})
	closed.Address = "127.0.0.1:1"
	client := newTestClient()
	for _, test := range []struct {
		name, id string
		worker   worker.Worker
		want     logrus.Fields
	}{
		{"refused on a new connection", "1", listening, logrus.Fields{"conn": "new", "status": 503, "answer_id": "1"}},
		{"refused on a kept connection", "2", listening, logrus.Fields{"conn": "kept", "status": 503, "answer_id": "2"}},
		{"no connection", "3", closed, logrus.Fields{"conn": "none"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			incoming, failure := send(t, client, test.worker, test.id)
			if failure == nil {
				_, _ = io.Copy(io.Discard, incoming.Response.Body)
				incoming.Response.Body.Close()
				failure = incoming.RefusalError(test.worker.ID)
			}
			if failure.Outcome != api.OutcomeNotRun {
				t.Errorf("outcome is %s", failure.Outcome)
			}
			fields := EvidenceFields(failure)
			sent := fields["sent_bytes"]
			delete(fields, "sent_bytes")
			if fmt.Sprint(fields) != fmt.Sprint(test.want) || (sent == int64(0)) != (test.want["conn"] == "none") {
				t.Errorf("fields are %v, %v bytes sent, want %v", fields, sent, test.want)
			}
		})
	}
}

// Guards against a response that nothing ties to the attempt under way.
func TestUntiedResponseIsNotBelieved(t *testing.T) {
	const refusal, stamp = headerNotRun + ": 1\r\n", headerStamp + ": s\r\n"
	type response struct {
		status      int
		id, headers string
	}
	for _, test := range []struct {
		name        string
		ids         []string   // of the requests, in order
		second      []response // what the second request of a connection gets
		wantOutcome api.Outcome
		wantNew     bool
	}{
		{"refusal without id on a kept connection", []string{"1", "2"}, []response{{503, "", refusal}}, api.OutcomeUnknown, false},
		{"refusal of another request", []string{"1", "2"}, []response{{503, "1", refusal}}, api.OutcomeUnknown, false},
		{"success of another request", []string{"1", "2"}, []response{{200, "1", stamp}}, api.OutcomeUnknown, false},
		{"success without id", []string{"1", "2"}, []response{{200, "", stamp}}, api.OutcomeUnknown, false},
		{"refusal of the request", []string{"1", "2"}, []response{{503, "2", refusal}}, api.OutcomeNotRun, false},
		{"refusal of an earlier send", []string{"1", "1"}, []response{{503, "1", refusal}}, api.OutcomeRan, true},
		{"success of an earlier send", []string{"1", "1"}, []response{{200, "1", stamp}}, api.OutcomeRan, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := scriptedWorker(t, func(conn net.Conn, request *http.Request, n int) {
				if n == 1 {
					writeResponse(conn, http.StatusOK, request.Header.Get(headerID), stamp, "whole")
					return
				}
				for _, r := range test.second {
					writeResponse(conn, r.status, r.id, r.headers, "surplus")
				}
			})
			client := newTestClient()
			for n, id := range test.ids {
				incoming, failure := send(t, client, w, id)
				outcome := api.OutcomeRan
				switch {
				case failure != nil:
					outcome = failure.Outcome
				case incoming.NotRun:
					outcome = api.OutcomeNotRun
				}
				if n == 1 && outcome != test.wantOutcome {
					t.Errorf("outcome is %s (%v), want %s", outcome, failure, test.wantOutcome)
				}
				if failure != nil {
					continue
				}
				body, _ := io.ReadAll(incoming.Response.Body)
				incoming.Response.Body.Close()
				if n == 1 && test.wantNew && (incoming.Evidence.Reused || string(body) != "whole") {
					t.Errorf("kept connection: %t, body %q", incoming.Evidence.Reused, body)
				}
			}
		})
	}
}

// Guards against a refusal without an ID that is not believed although it is the first response of its
// connection.
func TestFirstRefusalOfConnectionNeedsNoID(t *testing.T) {
	w := scriptedWorker(t, func(conn net.Conn, _ *http.Request, _ int) {
		writeResponse(conn, http.StatusServiceUnavailable, "", headerNotRun+": 1\r\n", "")
	})
	incoming, failure := send(t, newTestClient(), w, "1")
	if failure != nil || !incoming.NotRun {
		t.Fatalf("%+v, %v", incoming, failure)
	}
	incoming.Response.Body.Close()
}

// Guards against a report without end that holds memory, or the caller beyond its time.
func TestReportWithoutEndIsBounded(t *testing.T) {
	const maxSent = 32 << 20 // with what the kernel holds
	for _, test := range []struct {
		name, head, repeated string
		pause                time.Duration
	}{
		{"headers", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", 0},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", " ", 0},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n", 0},
		{"slow body", "HTTP/1.1 200 OK\r\n\r\n", " ", 10 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			sent := make(chan int, 1)
			w := scriptedWorker(t, func(conn net.Conn, _ *http.Request, _ int) {
				total, chunk := 0, test.repeated
				if test.pause == 0 {
					chunk = strings.Repeat(chunk, 4<<10)
				}
				for next := test.head; ; next = chunk {
					n, err := io.WriteString(conn, next)
					total += n
					if err != nil {
						sent <- total
						conn.Close()
						return
					}
					time.Sleep(test.pause)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if test.pause > 0 {
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			if report, err := newTestClient().FetchReport(ctx, w); err == nil {
				t.Errorf("%+v", report)
			}
			if total := <-sent; total > maxSent {
				t.Errorf("%d bytes sent", total)
			}
		})
	}
}

// Guards against reports of workers that are taken from malformed or broken answers.
func TestBrokenReportIsNotBelieved(t *testing.T) {
	tests := []struct {
		name, answer string
		whole        bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true},
		{"ends with its connection", "HTTP/1.1 200 OK\r\n\r\n{}", true},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", false},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", false},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}", false},
		{"length by a name with a blank", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", false},
		{"0x01 in a name", "HTTP/1.1 200 OK\r\nX-\x01: 2\r\n\r\n{}", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := scriptedWorker(t, func(conn net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(conn, test.answer)
				conn.Close()
			})
			if report, err := newTestClient().FetchReport(t.Context(), w); (err == nil) != test.whole {
				t.Errorf("%+v, %v", report, err)
			}
		})
	}
}
