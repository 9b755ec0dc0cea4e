package router

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/routing"
)

// internalHeaderPrefix is of the headers that go between processes.
const internalHeaderPrefix = "Dykewing-"

// forwarder sends requests on to another home of the zone: those that came from
// another zone, which knows only a few routers of this one, and those whose
// workers have moved to another home since the sender's view. A request passes
// two routers at the most.
type forwarder struct {
	router  *Router
	client  *http.Client
	homes   atomic.Pointer[map[api.RowKey][]routing.Endpoint] // in the zone, the own among them
	profile routing.Profile
}

func newForwarder(router *Router, client *http.Client) *forwarder {
	f := &forwarder{router: router, client: client, profile: routing.Profile{
		Name:    "forward",
		Filters: []routing.Filter{routing.NotTriedFilter{}},
		Scorers: []routing.WeightedScorer{{Scorer: routing.LoadScorer{}, Weight: 1}},
		Picker:  routing.TwoChoicesPicker{Random: rand.New(globalSource{})},
	}}
	f.homes.Store(&map[api.RowKey][]routing.Endpoint{})
	return f
}

// globalSource draws from the runtime's generators, which goroutines share.
type globalSource struct{}

// Uint64 draws.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// setNodes takes a view.
func (f *forwarder) setNodes(nodes []api.Node) {
	homes, leaving := map[api.RowKey][]routing.Endpoint{}, 0
	location := f.router.node.Settings.Node.Location()
	for _, node := range nodes {
		if node.Role == api.RoleRouter && node.Leaving {
			leaving++
		}
		if node.Role != api.RoleRouter || node.Leaving || node.Location != location {
			continue
		}
		for _, summary := range node.Summary.Services {
			if summary.Workers == 0 {
				continue
			}
			homes[summary.Key()] = append(homes[summary.Key()], routing.Endpoint{
				Name: string(node.ID), Address: node.Address, Key: summary.Key(), Location: node.Location,
				Slots: summary.Slots, Online: summary.Online, Batch: summary.Batch,
			})
		}
	}
	f.homes.Store(&homes)
	if leaving > 0 {
		f.client.CloseIdleConnections() // a router that leaves waits for it
	}
}

// fromOtherZone is true for a request that this router got as its zone's
// gateway and has not passed another.
func fromOtherZone(header http.Header) bool { return header.Get(api.HeaderHops) == "0" }

// before sends a request from another zone to the best home of the zone, and is
// true when it has answered. This router itself is one of the choices.
func (f *forwarder) before(ctx context.Context, w http.ResponseWriter, request *http.Request, routed routing.Request, body []byte) bool {
	if !fromOtherZone(request.Header) {
		return false
	}
	chosen, ok := f.choose(routed)
	if !ok || chosen.Name == string(f.router.node.ID()) {
		return false
	}
	return f.send(ctx, w, request, body, chosen)
}

// after sends a request that was refused here for want of a worker to another
// home of the row, and is true when it has answered.
func (f *forwarder) after(ctx context.Context, w http.ResponseWriter, request *http.Request, routed routing.Request, body []byte, failure *api.Error) bool {
	passed, _ := strconv.Atoi(request.Header.Get(api.HeaderHops))
	if passed > 0 || failure.Outcome != api.OutcomeNotRun || failure.Code != api.CodeNoCapacity {
		return false
	}
	routed.Excluded = []string{string(f.router.node.ID())}
	chosen, ok := f.choose(routed)
	return ok && f.send(ctx, w, request, body, chosen)
}

func (f *forwarder) choose(routed routing.Request) (routing.Endpoint, bool) {
	return f.profile.Choose(routed, (*f.homes.Load())[api.RowKey{Service: routed.Service, Place: routed.Place}])
}

// send forwards once. It is false, with nothing written, when the request has
// certainly not run there, so that the caller may still place it itself.
func (f *forwarder) send(ctx context.Context, w http.ResponseWriter, request *http.Request, body []byte, home routing.Endpoint) bool {
	const step = "forward to home"
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+home.Address+request.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	outgoing.Header = forwardedHeader(ctx, request.Header)
	response, failure := transport.Send(f.client, outgoing, step, home.Name)
	if failure != nil {
		f.router.metrics.forwarded.WithLabelValues(string(failure.Outcome)).Inc()
		if failure.Outcome == api.OutcomeNotRun {
			return false
		}
		f.router.refuse(w, failure)
		return true
	}
	defer response.Body.Close()
	outcome := response.Header.Get(api.HeaderOutcome)
	f.router.metrics.forwarded.WithLabelValues(outcome).Inc()
	f.passOn(w, response)
	return true
}

func forwardedHeader(ctx context.Context, received http.Header) http.Header {
	header := http.Header{}
	copyInternal(header, received)
	for _, name := range passedHeaders {
		if values := received[http.CanonicalHeaderKey(name)]; len(values) > 0 {
			header[http.CanonicalHeaderKey(name)] = values
		}
	}
	header.Set(api.HeaderHops, "1")
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(api.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	return header
}

func copyInternal(to, from http.Header) {
	for name, values := range from {
		if strings.HasPrefix(name, internalHeaderPrefix) || name == api.HeaderRequestID {
			to[name] = values
		}
	}
}

// passOn gives the home's answer, also a refusal, as it is. A broken answer
// breaks the connection.
func (f *forwarder) passOn(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	copyInternal(header, response.Header)
	for _, name := range answerHeaders {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	w.WriteHeader(response.StatusCode)
	if err := engine.CopyStream(w, engine.Framed(response)); err != nil {
		f.router.metrics.broken.Inc()
		f.router.log.WithError(err).Debug("A forwarded answer broke off.")
		panic(http.ErrAbortHandler)
	}
}
