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

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/retry"
	"github.com/dykewing/dykewing/worker"
)

// connectionHeaders are the hop-by-hop headers, which are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// Limits of connections to workers.
const (
	maxIdleConnections = 16 // per worker
	idleTimeout        = 900 * time.Millisecond
	dialTimeout        = 500 * time.Millisecond
	silenceLimit       = 2 * time.Second
	maxReportBytes     = 64 << 10
	// A refusal's connection is kept if the rest of its body is short and there at once.
	maxRefusalBytes = 4 << 10
	refusalTimeout  = 20 * time.Millisecond
)

// Client sends requests to workers and fetches their reports. It is safe for
// concurrent use.
type Client struct {
	Protocol Protocol
	client   *http.Client
}

// NewClient returns a Caller with its own connection pool.
func NewClient(protocol Protocol) *Client {
	return &Client{Protocol: protocol, client: transport.NewKeepAliveClient(transport.ClientOptions{
		ConnectionsPerHost: maxIdleConnections, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, KeepAliveTimeout: silenceLimit,
	})}
}

// Instrument adds the bytes sent to and received from workers to traffic and returns c.
func (c *Client) Instrument(traffic *transport.Traffic) *Client {
	traffic.Instrument(c.client, transport.KindWorkers)
	return c
}

// WorkerRequest is a request to be sent to a worker.
type WorkerRequest struct {
	Method string
	Path   string // escaped, as sent by the client
	Query  string
	Host   string
	Header http.Header // modified by Send
	Body   []byte
	Call   Call
	ID     string // request ID that the response must carry
	Worker worker.Worker
}

// WorkerResponse is a worker's response with its body unread. The receiver closes it.
type WorkerResponse struct {
	ResponseInfo
	Response *http.Response
	Evidence retry.Evidence
}

const stepSend = "send to worker"

// Send sends a request once, without retries. The outcome of an error tells whether the
// request may have run.
func (c *Client) Send(ctx context.Context, out WorkerRequest) (*WorkerResponse, *api.Error) {
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
		request.Header["User-Agent"] = nil // suppresses the default of net/http
	}
	out.Call.Worker = out.Worker.ID
	c.Protocol.WriteCall(request.Header, out.Call)
	response, failure := transport.Send(c.client, request, out.ID, stepSend, out.Worker.ID)
	if failure != nil {
		return nil, failure
	}
	incoming := &WorkerResponse{
		ResponseInfo: c.Protocol.ReadResponse(response.StatusCode, response.Header), Response: response.Response, Evidence: response.Evidence,
	}
	incoming.Evidence.ResponseID = incoming.RequestID
	if failure := incoming.checkRequestID(out); failure != nil {
		response.Body.Close()
		return nil, failure
	}
	return incoming, nil
}

// checkRequestID rejects a response that may belong to another request or to an earlier attempt. A
// refusal may lack the ID.
func (i *WorkerResponse) checkRequestID(out WorkerRequest) *api.Error {
	if i.Evidence.Ties(out.ID) && (i.RequestID == out.ID || i.NotRun) {
		return nil
	}
	failure := api.NewError("read answer", out.Worker.ID, api.CodeUpstream, api.OutcomeUnknown, "response with id %q may not be the one to this attempt", i.RequestID)
	failure.Err = &retry.EvidenceError{Evidence: i.Evidence, Err: failure.Err}
	return failure
}

// CloseRefusal closes a response whose body does not matter. It returns within refusalTimeout.
func (i *WorkerResponse) CloseRefusal() {
	body := i.Response.Body
	defer body.Close()
	timer := time.AfterFunc(refusalTimeout, func() { body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxRefusalBytes+1)) // one more to read the end of a body of maxRefusalBytes
}

// RefusalError returns the error of a response that says that the request was not run.
func (i *WorkerResponse) RefusalError(workerID string) *api.Error {
	failure := api.NewError(stepSend, workerID, api.CodeNoCapacity, api.OutcomeNotRun, "rejected with status %d", i.Response.StatusCode)
	failure.Err = &retry.EvidenceError{Evidence: i.Evidence, Err: failure.Err}
	return failure
}

// EvidenceFields returns log fields with the evidence on which the outcome of a failed attempt rests;
// nil if err has none.
func EvidenceFields(err error) logrus.Fields {
	evidence, ok := retry.EvidenceOf(err)
	if !ok {
		return nil
	}
	conn := "none"
	switch {
	case evidence.Reused:
		conn = "kept"
	case evidence.Connected:
		conn = "new"
	}
	fields := logrus.Fields{"conn": conn, "sent_bytes": evidence.BytesWritten}
	if evidence.Status != 0 {
		fields["status"], fields["answer_id"] = evidence.Status, evidence.ResponseID
	}
	return fields
}

// Complete reports whether a body that ended without an error is whole. One with neither a length nor
// chunks ends with its connection, also when its worker crashes: it is whole only if the worker
// still listens.
func (i *WorkerResponse) Complete(ctx context.Context, w worker.Worker) bool {
	return i.Framed() || transport.Listening(ctx, w.Address)
}

// Framed reports whether the body has a length or chunks, so that its end is recognized.
func (i *WorkerResponse) Framed() bool {
	return i.Response.ContentLength >= 0 || len(i.Response.TransferEncoding) > 0
}

// DropConnectionHeaders removes hop-by-hop headers, including those that the
// Connection header names.
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

// FetchReport fetches a worker's state.
func (c *Client) FetchReport(ctx context.Context, w worker.Worker) (Report, error) {
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
	info := c.Protocol.ReadResponse(response.StatusCode, response.Header)
	if response.StatusCode != http.StatusOK || info.RequestID != "" {
		return Report{}, fmt.Errorf("ask worker %s: status %d, answer to request %q", w.ID, response.StatusCode, info.RequestID)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes+1))
	if err == nil && len(raw) > maxReportBytes {
		err = fmt.Errorf("report is over %d bytes", maxReportBytes)
	}
	if err != nil {
		return Report{}, fmt.Errorf("ask worker %s: %w", w.ID, err)
	}
	report, err := c.Protocol.DecodeReport(raw)
	if err != nil {
		return Report{}, fmt.Errorf("ask worker %s: %w", w.ID, err)
	}
	report.Pace = info.Load.Pace
	return report, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }
