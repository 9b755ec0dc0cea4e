package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/guard"
	"github.com/dykewing/dykewing/internal/transport"
)

func TestRequestsInQuarantineAreListedAndReleased(t *testing.T) {
	released := ""
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+guard.PathQuarantine, func(w http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(w, http.StatusOK, []guard.QuarantinedRequest{{Digest: "ab12", Workers: []string{"w1", "w2", "w3"}, Trials: 1}})
	})
	mux.HandleFunc("DELETE "+guard.PathQuarantine+"/{digest}", func(w http.ResponseWriter, r *http.Request) {
		if r.PathValue("digest") != "ab12" {
			transport.WriteError(w, api.NewError("let a request go", "", api.CodeNotFound, api.OutcomeNotRun, "none"))
			return
		}
		released = r.PathValue("digest")
		w.WriteHeader(http.StatusNoContent)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	var out bytes.Buffer
	s := &session{node: strings.TrimPrefix(server.URL, "http://"), output: outputTable, timeout: 10 * time.Second, client: transport.NewClient(1), out: &out}
	if err := s.listQuarantine(); err != nil || !strings.Contains(out.String(), "ab12    1       w1,w2,w3") {
		t.Errorf("%v\n%s", err, out.String())
	}
	if err := s.release("ab12"); err != nil || released != "ab12" {
		t.Errorf("%v, released %q", err, released)
	}
	if err := s.release("other"); err == nil || !strings.Contains(err.Error(), "not_found") {
		t.Errorf("release of an unknown request: %v", err)
	}
	s.node = ""
	if s.listQuarantine() == nil || s.release("ab12") == nil {
		t.Error("without a node")
	}
}
