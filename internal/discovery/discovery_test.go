package discovery_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/discovery"
	"github.com/dykewing/dykewing/internal/standin/machinelist"
)

func worker(id string) api.Worker {
	return api.Worker{
		ID: api.WorkerID(id), Address: "127.0.0.1:1", Service: "s", Place: "p",
		Location: api.Location{Region: "r", Zone: "z"}, Slots: 4,
	}
}

// counting counts the bytes of response bodies.
type counting struct {
	http.ResponseWriter
	bytes *int
}

func (c counting) Write(p []byte) (int, error) {
	*c.bytes += len(p)
	return c.ResponseWriter.Write(p)
}

func TestUnchangedListIsNotResent(t *testing.T) {
	list, bytes := machinelist.NewServer(0), 0
	list.Set([]api.Worker{worker("a")})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list.ServeHTTP(counting{ResponseWriter: w, bytes: &bytes}, r)
	}))
	defer server.Close()
	reader := &discovery.HTTPList{Address: strings.TrimPrefix(server.URL, "http://"), Path: "/", Client: server.Client()}
	read := func(want ...api.Worker) {
		t.Helper()
		workers, err := reader.Workers(context.Background())
		if err != nil || !slices.Equal(workers, want) {
			t.Fatalf("read %v, %v; want %v", workers, err, want)
		}
	}
	read(worker("a"))
	first := bytes
	read()
	if first == 0 || bytes != first {
		t.Fatalf("sent %d bytes, then %d more", first, bytes-first)
	}
	list.Set([]api.Worker{worker("a"), worker("b")})
	read(worker("a"), worker("b"))
}

// TestTruncatedListIsReadAgain guards against keeping the entity tag of a response that
// could not be decoded.
func TestTruncatedListIsReadAgain(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		w.Header().Set("ETag", `"1"`)
		switch {
		case calls == 1:
			_, _ = w.Write([]byte(`[{"targets":`))
		case r.Header.Get("If-None-Match") != "":
			w.WriteHeader(http.StatusNotModified)
		default:
			_, _ = w.Write([]byte(`[{"targets":["127.0.0.1:1"],"labels":{"id":"a","service":"s","place":"p"}}]`))
		}
	}))
	defer server.Close()
	reader := &discovery.HTTPList{Address: strings.TrimPrefix(server.URL, "http://"), Path: "/", Client: server.Client()}
	if _, err := reader.Workers(context.Background()); err == nil {
		t.Fatal("a truncated list was accepted")
	}
	if workers, err := reader.Workers(context.Background()); err != nil || len(workers) != 1 {
		t.Fatalf("read %v, %v after a truncated response", workers, err)
	}
}
