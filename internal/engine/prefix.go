package engine

import (
	"bytes"
	"context"
	"fmt"

	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/routing"
)

// promptKeys begin the prompt in bodies of the OpenAI API.
var promptKeys = [][]byte{[]byte(`"messages"`), []byte(`"prompt"`)}

// PromptPrefix gives the hashes of a request's prompt by which prefix caches
// are known. The body is not parsed, so that the cost stays small: the prompt is
// what follows its key. Bodies without one have none.
func PromptPrefix(body []byte) []uint64 {
	for _, key := range promptKeys {
		if at := bytes.Index(body, key); at >= 0 {
			return routing.PrefixHashes(body[at+len(key):])
		}
	}
	return nil
}

// PathCacheEvents is where an engine publishes changes of its prefix cache.
const PathCacheEvents = "/cache/events"

// CacheEvents reads the events after a sequence number.
func (b *HTTPBackend) CacheEvents(ctx context.Context, address string, after uint64) ([]routing.CacheEvent, error) {
	var answer struct {
		Events []routing.CacheEvent `json:"events"`
	}
	path := fmt.Sprintf("%s?after=%d", PathCacheEvents, after)
	err := transport.Get(ctx, b.Control, "read cache events of worker", address, path, &answer)
	return answer.Events, err
}
