package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/limiter"
	"github.com/dykewing/dykewing/internal/transport"
)

func TestLimitsByOrder(t *testing.T) {
	var decision limiter.ByOrderDecision
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+limiter.PathByOrder, func(w http.ResponseWriter, r *http.Request) {
		if failure := transport.ReadJSON(w, r, "read decision", 1<<10, &decision); failure != nil {
			transport.WriteError(w, failure)
			return
		}
		transport.WriteJSON(w, http.StatusOK, limiter.ByOrderResult{Leased: []api.GroupID{3}})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	var out bytes.Buffer
	s := &session{node: strings.TrimPrefix(server.URL, "http://"), output: outputTable, timeout: 10 * time.Second, client: transport.NewClient(1), out: &out}
	for _, byOrder := range []bool{true, false} {
		if err := s.setLimitsByOrder(byOrder); err != nil || decision.ByOrder != byOrder || !strings.Contains(out.String(), "3") {
			t.Errorf("%t: %v, sent %+v\n%s", byOrder, err, decision, out.String())
		}
	}
	s.node = ""
	if s.setLimitsByOrder(true) == nil {
		t.Error("without a node")
	}
}
