package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/membership"
)

const (
	maxExchangeBytes = 4 << 20
	// minCompressBytes is the body size below which compression saves too little.
	minCompressBytes = 400
	gzipEncoding     = "gzip"
)

var compressors = sync.Pool{New: func() any {
	writer, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return writer
}}

var decompressors sync.Pool // of *gzip.Reader

// EncodeExchange encodes an exchange as a message body and reports whether the body is
// compressed with gzip.
func EncodeExchange(exchange membership.Exchange) (body []byte, compressed bool, err error) {
	raw, err := json.Marshal(exchange)
	if err != nil || len(raw) < minCompressBytes {
		return raw, false, err
	}
	var buffer bytes.Buffer
	writer := compressors.Get().(*gzip.Writer)
	defer compressors.Put(writer)
	writer.Reset(&buffer)
	if _, err := writer.Write(raw); err != nil {
		return nil, false, fmt.Errorf("compress exchange: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, false, fmt.Errorf("compress exchange: %w", err)
	}
	return buffer.Bytes(), true, nil
}

// DecodeExchange decodes a body that EncodeExchange returned.
func DecodeExchange(body []byte) (membership.Exchange, error) {
	encoding := ""
	if bytes.HasPrefix(body, []byte{0x1f, 0x8b}) { // magic number of gzip, never valid JSON
		encoding = gzipEncoding
	}
	return decodeExchange(bytes.NewReader(body), encoding)
}

// decodeExchange decodes a body of bounded size with the given content encoding.
func decodeExchange(body io.Reader, encoding string) (membership.Exchange, error) {
	var exchange membership.Exchange
	body = io.LimitReader(body, maxExchangeBytes)
	if encoding == gzipEncoding {
		reader, err := decompressor(body)
		if err != nil {
			return exchange, fmt.Errorf("decompress exchange: %w", err)
		}
		defer decompressors.Put(reader)
		body = io.LimitReader(reader, maxExchangeBytes)
	}
	err := json.NewDecoder(body).Decode(&exchange)
	return exchange, err
}

// decompressor returns a pooled reader; the caller puts it back into decompressors.
func decompressor(body io.Reader) (*gzip.Reader, error) {
	if reader, ok := decompressors.Get().(*gzip.Reader); ok {
		return reader, reader.Reset(body)
	}
	return gzip.NewReader(body)
}

// postExchange sends an exchange to a peer and returns the reply. It omits unneeded
// headers, which would be a large part of the heartbeat traffic.
func postExchange(ctx context.Context, client *http.Client, send membership.Send) (membership.Exchange, error) {
	const step = "send heartbeat"
	body, compressed, err := EncodeExchange(send.Exchange)
	if err != nil {
		return membership.Exchange{}, api.NewError(step, send.Address, api.CodeInternal, api.OutcomeNotRun, "encode: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+send.Address+api.PathGossip, bytes.NewReader(body))
	if err != nil {
		return membership.Exchange{}, api.NewError(step, send.Address, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	request.Header["User-Agent"] = []string{""}
	request.Header.Set("Accept-Encoding", gzipEncoding)
	if compressed {
		request.Header.Set("Content-Encoding", gzipEncoding)
	}
	response, err := client.Do(request)
	if err != nil {
		return membership.Exchange{}, transport.SendError(step, send.Address, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return membership.Exchange{}, transport.ReadError(step, send.Address, response)
	}
	answer, err := decodeExchange(response.Body, response.Header.Get("Content-Encoding"))
	if err != nil {
		return answer, api.NewError(step, send.Address, api.CodeUpstream, api.OutcomeUnknown, "read answer: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxExchangeBytes))
	return answer, nil
}

// serveGossip passes a peer's exchange to membership and responds with the reply.
func (n *Node) serveGossip(w http.ResponseWriter, r *http.Request) {
	const step = "receive heartbeat"
	exchange, err := decodeExchange(http.MaxBytesReader(w, r.Body, maxExchangeBytes), r.Header.Get("Content-Encoding"))
	if err != nil {
		transport.WriteError(w, transport.BodyError(step, err))
		return
	}
	n.membershipMetrics.answered.Inc()
	n.membershipMetrics.records.Add(float64(len(exchange.Updates)))
	actions, err := n.membership.Ask(membership.RequestReceived{Exchange: exchange})
	if err != nil {
		transport.WriteError(w, api.AsError(step, err))
		return
	}
	for _, action := range actions {
		if reply, ok := action.(membership.Reply); ok {
			writeExchange(w, reply.Exchange)
			return
		}
	}
}

func writeExchange(w http.ResponseWriter, exchange membership.Exchange) {
	body, compressed, err := EncodeExchange(exchange)
	if err != nil {
		transport.WriteError(w, api.AsError("answer heartbeat", err))
		return
	}
	header := w.Header()
	header["Date"] = nil // unused by peers
	header.Set("Content-Type", "application/json")
	if compressed {
		header.Set("Content-Encoding", gzipEncoding)
	}
	_, _ = w.Write(body)
}
