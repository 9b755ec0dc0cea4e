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

// internalHeaderPrefix is the prefix of headers used between processes.
const internalHeaderPrefix = "Dykewing-"

// forwarder forwards requests to another home router of the zone: requests from another
// zone, which knows only a few of this zone's routers, and requests whose workers have
// moved to another home since the sender's view. A request is forwarded at most once.
type forwarder struct {
	router  *Router
	client  *http.Client
	homes   atomic.Pointer[map[api.RowKey][]routing.Endpoint] // of the zone, including this router
	profile routing.Profile
}

func newForwarder(router *Router, client *http.Client) *forwarder {
	f := &forwarder{router: router, client: client, profile: routing.Profile{
		Name:    "forward",
		Filters: []routing.Filter{routing.NotTriedFilter{}},
		Scorers: []routing.WeightedScorer{{Scorer: routing.LoadScorer{}, Weight: 1}},
		Picker:  routing.PowerOfTwoPicker{Random: rand.New(globalSource{})},
	}}
	f.homes.Store(&map[api.RowKey][]routing.Endpoint{})
	return f
}

// globalSource is a rand.Source over the top-level generator of math/rand/v2, which is
// safe for concurrent use.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// setNodes rebuilds the index of homes from a membership view.
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
		f.client.CloseIdleConnections() // a leaving router waits for its connections to close
	}
}

// fromOtherZone reports whether this router received the request as a gateway of its
// zone, so that the request has not been forwarded yet.
func fromOtherZone(header http.Header) bool { return header.Get(api.HeaderHops) == "0" }

// forwardFromGateway forwards a request from another zone to the best home of this zone and reports
// whether it has written a response. It returns false if that home is this router.
func (f *forwarder) forwardFromGateway(ctx context.Context, w http.ResponseWriter, request *http.Request, routed routing.Request, body []byte) bool {
	if !fromOtherZone(request.Header) {
		return false
	}
	chosen, ok := f.choose(routed)
	if !ok || chosen.Name == string(f.router.node.ID()) {
		return false
	}
	return f.send(ctx, w, request, body, chosen)
}

// forwardRefused forwards a request that was refused here for lack of capacity to another home of
// the row and reports whether it has written a response.
func (f *forwarder) forwardRefused(ctx context.Context, w http.ResponseWriter, request *http.Request, routed routing.Request, body []byte, failure *api.Error) bool {
	hops, _ := strconv.Atoi(request.Header.Get(api.HeaderHops))
	if hops > 0 || failure.Outcome != api.OutcomeNotRun || failure.Code != api.CodeNoCapacity {
		return false
	}
	routed.Excluded = []string{string(f.router.node.ID())}
	chosen, ok := f.choose(routed)
	return ok && f.send(ctx, w, request, body, chosen)
}

func (f *forwarder) choose(routed routing.Request) (routing.Endpoint, bool) {
	return f.profile.Choose(routed, (*f.homes.Load())[api.RowKey{Service: routed.Service, Place: routed.Place}])
}

// send forwards a request without retries. It returns false, with nothing written, if
// the request certainly did not run there, so that the caller may still run it.
func (f *forwarder) send(ctx context.Context, w http.ResponseWriter, request *http.Request, body []byte, home routing.Endpoint) bool {
	const step = "forward to home"
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+home.Address+request.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	outgoing.Header = newForwardHeader(ctx, request.Header)
	response, failure := transport.Send(f.client, outgoing, outgoing.Header.Get(api.HeaderRequestID), step, home.Name)
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
	f.relay(w, response.Response)
	return true
}

func newForwardHeader(ctx context.Context, received http.Header) http.Header {
	header := http.Header{}
	copyInternalHeaders(header, received)
	for _, name := range requestHeaders {
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

func copyInternalHeaders(to, from http.Header) {
	for name, values := range from {
		if strings.HasPrefix(name, internalHeaderPrefix) || name == api.HeaderRequestID {
			to[name] = values
		}
	}
}

// relay relays the home's response unchanged, including refusals. It aborts the
// connection if the response is interrupted.
func (f *forwarder) relay(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	copyInternalHeaders(header, response.Header)
	for _, name := range responseHeaders {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	w.WriteHeader(response.StatusCode)
	if err := engine.CopyStream(w, engine.CheckedBody(response)); err != nil {
		f.router.metrics.interrupted.Inc()
		f.router.log.WithError(err).Debug("A forwarded response was interrupted.")
		panic(http.ErrAbortHandler)
	}
}
