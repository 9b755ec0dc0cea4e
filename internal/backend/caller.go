package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/worker"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// Connections to workers.
const (
	idleConnections = 16 // kept to one worker
	idleLifetime    = 900 * time.Millisecond
	dialTimeout     = 500 * time.Millisecond
	silenceLimit    = 2 * time.Second
	maximumReport   = 64 << 10
)

// Caller sends requests to workers and reads what they say of themselves.
type Caller struct {
	Protocol Protocol
	client   *http.Client
}

// NewCaller gives a caller with a pool of connections of its own.
func NewCaller(protocol Protocol) *Caller {
	return &Caller{Protocol: protocol, client: transport.NewProbingClient(transport.Options{
		ConnectionsPerHost: idleConnections, DialTimeout: dialTimeout, IdleLifetime: idleLifetime, SilenceLimit: silenceLimit,
	})}
}

// Count lets the bytes to and from workers be counted.
func (c *Caller) Count(traffic *transport.Traffic) *Caller {
	traffic.Count(c.client, transport.KindWorkers)
	return c
}

// Outgoing is a request as a worker is to get it.
type Outgoing struct {
	Method string
	Path   string // escaped, as the caller sent it
	Query  string
	Host   string
	Header http.Header // is changed
	Body   []byte
	Call   Call
	ID     string // that the answer must carry
	Worker worker.Worker
}

// Incoming is a worker's answer, whose body is still to come.
type Incoming struct {
	Answer
	Response *http.Response
}

const stepSend = "send to worker"

// Send sends a request once. An error says whether it can have run.
func (c *Caller) Send(ctx context.Context, out Outgoing) (*Incoming, *api.Error) {
	ctx = transport.WithPeerZone(ctx, out.Worker.Zone)
	request, err := http.NewRequestWithContext(ctx, out.Method, "http://"+out.Worker.Address, bytes.NewReader(out.Body))
	if err != nil {
		return nil, api.NewError(stepSend, out.Worker.ID, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	request.URL = &url.URL{Scheme: "http", Host: out.Worker.Address, Opaque: out.Path, RawQuery: out.Query}
	request.Host = out.Host
	request.Header = out.Header
	DropConnectionHeaders(request.Header)
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = nil // not net/http's own
	}
	out.Call.Worker = out.Worker.ID
	c.Protocol.WriteCall(request.Header, out.Call)
	response, failure := transport.Send(c.client, request, stepSend, out.Worker.ID)
	if failure != nil {
		return nil, failure
	}
	incoming := &Incoming{Answer: c.Protocol.ReadAnswer(response.StatusCode, response.Header), Response: response}
	if failure := incoming.check(out); failure != nil {
		response.Body.Close()
		return nil, failure
	}
	return incoming, nil
}

// check refuses an answer that belongs to another request.
func (i *Incoming) check(out Outgoing) *api.Error {
	if i.RequestID == out.ID || i.RequestID == "" && i.NotRun {
		return nil
	}
	return api.NewError("read answer", out.Worker.ID, api.CodeUpstream, api.OutcomeUnknown,
		"the answer is of request %q", i.RequestID)
}

// DropConnectionHeaders removes what concerns one connection only.
func DropConnectionHeaders(header http.Header) {
	for _, named := range header["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
}

// Report asks a worker for its state.
func (c *Caller) Report(ctx context.Context, w worker.Worker) (Report, error) {
	ctx = transport.WithPeerZone(ctx, w.Zone)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Address+c.Protocol.ReportPath(), nil)
	if err != nil {
		return Report{}, err
	}
	response, err := c.client.Transport.RoundTrip(request)
	if err != nil {
		return Report{}, fmt.Errorf("ask worker %s: %w", w.ID, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maximumReport))
	if err != nil {
		return Report{}, fmt.Errorf("ask worker %s: %w", w.ID, err)
	}
	if response.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("ask worker %s: status %d", w.ID, response.StatusCode)
	}
	report, err := c.Protocol.DecodeReport(raw)
	if err != nil {
		return Report{}, fmt.Errorf("ask worker %s: %w", w.ID, err)
	}
	report.Pace = c.Protocol.ReadAnswer(response.StatusCode, response.Header).Load.Pace
	return report, nil
}

// Close ends idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
