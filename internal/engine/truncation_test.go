package engine

import (
	"bytes"
	"io"
	"net/http"
	"testing"
)

// Guards against the first part of a response that is passed on as the whole, since it is valid by itself.
func TestUnframedBodyOverLimitIsTruncated(t *testing.T) {
	for _, test := range []struct {
		bytes int
		whole bool
	}{
		{maxUnframedBytes, true}, {maxUnframedBytes + 1, false}, {2 * maxUnframedBytes, false},
	} {
		body := append([]byte("{}"), bytes.Repeat([]byte(" "), test.bytes-2)...)
		got, err := io.ReadAll(CheckedBody(&http.Response{ContentLength: -1, Body: io.NopCloser(bytes.NewReader(body))}))
		if (err == nil) != test.whole || test.whole && len(got) != test.bytes {
			t.Errorf("%d of %d bytes, %v", len(got), test.bytes, err)
		}
	}
}
