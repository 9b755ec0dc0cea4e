package engine

import (
	"bytes"
	"context"
	"fmt"

	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/routing"
)

// promptKeys are the keys of the prompt in request bodies of the OpenAI API.
var promptKeys = [][]byte{[]byte(`"messages"`), []byte(`"prompt"`)}

// PromptPrefix returns the prefix-cache hashes of a request's prompt, or nil if the body
// has no prompt key. To keep the cost low, the body is not parsed: everything after the
// key is taken for the prompt.
func PromptPrefix(body []byte) []uint64 {
	for _, key := range promptKeys {
		if at := bytes.Index(body, key); at >= 0 {
			return routing.PrefixHashes(body[at+len(key):])
		}
	}
	return nil
}

// PathCacheEvents is the path at which an engine serves events of its prefix cache.
const PathCacheEvents = "/cache/events"

// CacheEvents reads the prefix cache events after a sequence number.
func (b *HTTPBackend) CacheEvents(ctx context.Context, address string, after uint64) ([]routing.CacheEvent, error) {
	var answer struct {
		Events []routing.CacheEvent `json:"events"`
	}
	path := fmt.Sprintf("%s?after=%d", PathCacheEvents, after)
	err := transport.Get(ctx, b.Control, "read cache events of worker", address, path, &answer)
	return answer.Events, err
}
