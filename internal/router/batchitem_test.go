package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/standin/rawhttp"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

// answeringEngine serves each request by writing the answer, and closes the connection.
func answeringEngine(t *testing.T, answer string) (address string) {
	return rawhttp.Serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+answer)
		conn.Close()
	})
}

// Guards against the first part of an answer that is stored as the whole result of an item.
func TestTruncatedAnswerIsNotResultOfItem(t *testing.T) {
	const (
		length = "Content-Length: 4\r\n"
		events = "Content-Type: text/event-stream\r\n"
	)
	tests := []struct {
		name, answer string
		want         string // stored result; empty: none
	}{
		{"JSON", "\r\n{\"a\":1}", `{"a":1}`},
		{"part of JSON", "\r\n{\"a\":", ""},
		{"text", "\r\ntext", ""},
		{"text with a length", length + "\r\ntext", `"text"`},
		{"part of text with a length", length + "\r\nte", ""},
		{"stream", events + "\r\ndata: 1\n\ndata: [DONE]\n\n", `"data: 1\n\ndata: [DONE]\n\n"`},
		{"part of a stream", events + "\r\ndata: 1\n\n", ""},
		{"part of the last event", events + "\r\ndata: 1\n\ndata: [DONE]", ""},
		{"empty stream", events + "\r\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := &engine.HTTPBackend{Client: transport.NewClient(1)}
			call := engine.Call{Worker: "w", Address: answeringEngine(t, test.answer), Path: "/v1/completions", Body: []byte("{}"), Header: http.Header{}}
			response, err := backend.Send(t.Context(), call)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			result, failure := readResult(context.Background(), jobs.RunItem{}, response)
			if got := string(result.Body); got != test.want || (failure == nil) != (test.want != "") {
				t.Errorf("result %s, %v", got, failure)
			}
			if failure != nil && failure.Outcome != api.OutcomeUnknown {
				t.Errorf("outcome %s", failure.Outcome)
			}
		})
	}
}
