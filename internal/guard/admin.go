package guard

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/quarantine"
)

// RegisterAdmin registers the handlers with which operators list quarantined requests and
// release them.
func (g *Guard) RegisterAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathQuarantine, g.serveList)
	mux.HandleFunc("DELETE "+PathQuarantine+"/{digest}", g.serveRelease)
}

func (g *Guard) serveList(w http.ResponseWriter, _ *http.Request) {
	transport.WriteJSON(w, http.StatusOK, g.list())
}

// list returns the published requests and those that so far only the owner has listed,
// sorted by digest.
func (g *Guard) list() []QuarantinedRequest {
	list := g.published.list()
	now := clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for digest, until := range g.ownerEntries {
		if now.Before(until) && !g.published.contains(digest) {
			list = append(list, QuarantinedRequest{Digest: digest})
		}
	}
	slices.SortFunc(list, func(a, b QuarantinedRequest) int { return cmp.Compare(a.Digest, b.Digest) })
	return list
}

// serveRelease removes the record of a request; every process releases the request when it
// receives the removal.
func (g *Guard) serveRelease(w http.ResponseWriter, r *http.Request) {
	const step = "let a request go"
	digest := quarantine.Digest(r.PathValue("digest"))
	if !digest.Valid() || !g.published.contains(digest) {
		transport.WriteError(w, api.NewError(step, "", api.CodeNotFound, api.OutcomeNotRun, "request %q is not quarantined", digest))
		return
	}
	if err := g.published.write(r.Context(), digest, nil); err != nil {
		transport.WriteError(w, api.NewError(step, "", api.CodeKeyValueUnavailable, api.OutcomeUnknown, "%w", err))
		return
	}
	g.log.WithFields(logrus.Fields{"event": "request_released", "digest": digest, "why": "an operator asked for it"}).Info("A request is released from quarantine.")
	w.WriteHeader(http.StatusNoContent)
}
