package relay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
)

const (
	// minCompressBytes is the size of a body from which gzip is worthwhile.
	minCompressBytes = 1 << 10
	gzipEncoding     = "gzip"
	// maxCachedResponses covers processes that are one batch of changes apart, and full
	// reads at the same time.
	maxCachedResponses = 3
)

// cacheKey identifies a response: the full state, or the changes after a revision, as of
// another revision.
type cacheKey struct {
	full            bool
	after, revision int64
}

// encoded is the JSON encoding of a response.
type encoded struct {
	plain   []byte
	gzipped []byte // nil for small bodies
}

// responseCache holds the last encoded responses, since all processes of a zone send the same
// queries. The zero value is empty. It is safe for concurrent use.
type responseCache struct {
	mutex   sync.Mutex // guards all below; held during a build, so that each response is built once
	entries []cachedResponse
}

type cachedResponse struct {
	key  cacheKey
	body encoded
}

// get returns the response for key, and builds it if it is not cached.
func (c *responseCache) get(key cacheKey, build func() response) (encoded, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := slices.IndexFunc(c.entries, func(each cachedResponse) bool { return each.key == key })
	if known >= 0 {
		return c.entries[known].body, nil
	}
	body, err := encode(build())
	if err != nil {
		return encoded{}, err
	}
	c.entries = append(c.entries[max(len(c.entries)-maxCachedResponses+1, 0):], cachedResponse{key: key, body: body})
	return body, nil
}

func (c *responseCache) clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.entries = nil
}

func encode(body response) (encoded, error) {
	plain, err := json.Marshal(body)
	if err != nil || len(plain) < minCompressBytes {
		return encoded{plain: plain}, err
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return encoded{}, fmt.Errorf("compress response: %w", err)
	}
	if _, err := writer.Write(plain); err != nil {
		return encoded{}, fmt.Errorf("compress response: %w", err)
	}
	if err := writer.Close(); err != nil {
		return encoded{}, fmt.Errorf("compress response: %w", err)
	}
	return encoded{plain: plain, gzipped: buffer.Bytes()}, nil
}
