package resume

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/origin"
)

// process is a registry with its handlers.
type process struct {
	*Registry
	server *httptest.Server
	node   api.Node
}

// newProcesses starts processes, each of which tells and asks all others.
func newProcesses(t *testing.T, n int) []*process {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	list := make([]*process, n)
	for i := range list {
		p := &process{}
		p.Registry = New(Settings{Client: http.DefaultClient, Log: logger.WithField("part", "resume"), Holders: func(origin.Key) (send, ask []api.Node) {
			for _, other := range list {
				if other != p {
					send = append(send, other.node)
				}
			}
			return send, send
		}})
		mux := http.NewServeMux()
		p.Register(mux)
		p.server = httptest.NewServer(mux)
		t.Cleanup(p.server.Close)
		p.node = api.Node{ID: api.NodeID(fmt.Sprint("n", i)), Address: strings.TrimPrefix(p.server.URL, "http://")}
		list[i] = p
	}
	return list
}

// The origin outlives the process that recorded it and one of its holders.
func TestOriginIsFoundWithoutTheProcessThatRecordedIt(t *testing.T) {
	processes := newProcesses(t, 4)
	key, want := origin.KeyOf("t", "h", "r"), origin.Origin{Service: "s", Version: "v1"}
	processes[0].Record(key, want, time.Minute)
	for _, holder := range processes[1:] {
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
			if _, ok := holder.local(key); ok {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s has no record", holder.node.ID)
			}
		}
	}
	processes[0].server.Close()
	processes[1].server.Close()
	asking := processes[2]
	asking.table = origin.NewTable(1) // as after a restart
	if got, ok := asking.Find(context.Background(), key); !ok || got != want {
		t.Errorf("found %+v, %t", got, ok)
	}
	if got, ok := asking.Find(context.Background(), origin.KeyOf("u", "h", "r")); ok {
		t.Errorf("found %+v for another tenant", got)
	}
}

func TestMalformedRecordsAreRejected(t *testing.T) {
	p := newProcesses(t, 1)[0]
	valid := string(origin.KeyOf("t", "h", "r"))
	tests := []struct {
		name, body string
		want       int
	}{
		{"valid", `{"records":[{"key":"` + valid + `","ttl_ms":5,"service":"s","version":"v"}]}`, http.StatusNoContent},
		{"no JSON", `{`, http.StatusBadRequest},
		{"malformed key", `{"records":[{"key":"x","ttl_ms":5}]}`, http.StatusBadRequest},
		{"no time", `{"records":[{"key":"` + valid + `","ttl_ms":0}]}`, http.StatusBadRequest},
		{"too many", `{"records":[` + strings.Repeat(`{"key":"`+valid+`","ttl_ms":5},`, maxBatch) + `{"key":"` + valid + `","ttl_ms":5}]}`, http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, err := http.Post(p.server.URL+PathRecords, "application/json", bytes.NewBufferString(test.body))
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			if response.StatusCode != test.want {
				t.Errorf("status %d, want %d", response.StatusCode, test.want)
			}
		})
	}
}
