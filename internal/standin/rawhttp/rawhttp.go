// Package rawhttp serves HTTP requests of tests by functions that write the bytes of their responses, which may
// be malformed or break off.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve calls respond for each request whose body has arrived, on any connection to the returned address
// (IP:port). n counts the requests of a connection from 1. A connection ends when respond closes it. The listener
// is closed at the end of the test.
func Serve(t testing.TB, respond func(conn net.Conn, request *http.Request, n int)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, respond)
		}
	}()
	return listener.Addr().String()
}

func serve(conn net.Conn, respond func(conn net.Conn, request *http.Request, n int)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		respond(conn, request, n)
	}
}
