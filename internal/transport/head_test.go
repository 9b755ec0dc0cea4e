package transport

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/rawhttp"
)

// headServer answers each request with an empty response whose head has the given status and lines.
func headServer(t *testing.T, status, lines string) (address string) {
	return rawhttp.Serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n%s\r\n", status, lines)
	})
}

// checkMalformed checks that a response with the head is an error to each kind of call.
func checkMalformed(t *testing.T, status, lines string) {
	t.Helper()
	address, client := headServer(t, status, lines), NewClient(2)
	for range 3 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		if _, failure := Send(client, request, "", "send", "peer"); failure == nil || failure.Outcome != api.OutcomeUnknown || !errors.Is(failure, errMalformedHead) {
			t.Errorf("send: %v", failure)
		}
		if err := Call(t.Context(), client, "call", address, "/", struct{}{}, nil); !errors.Is(err, errMalformedHead) {
			t.Errorf("call: %v", err)
		}
		if failure := Post(t.Context(), client, "post", address, "/", "text/plain", nil); failure == nil || !errors.Is(failure, errMalformedHead) {
			t.Errorf("post: %v", failure)
		}
	}
}

// Guards against responses without a valid status that are taken for successes or passed on.
func TestResponseWithMalformedStatusIsError(t *testing.T) {
	for _, status := range []string{"000 None", "001 None", "099 None", "101 Switching Protocols", "600 None", "999 None"} {
		t.Run(status, func(t *testing.T) { checkMalformed(t, status, "") })
	}
}

// Guards against responses with a field whose name is malformed, which may hide where their body ends.
func TestResponseWithMalformedFieldIsError(t *testing.T) {
	for _, line := range []string{"Content-Length : 5", "Transfer-Encoding : chunked", "X Part: 1", "X-Part : 1"} {
		t.Run(line, func(t *testing.T) { checkMalformed(t, "200 OK", line+"\r\n") })
	}
}
