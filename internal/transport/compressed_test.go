package transport

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestLargeResponseIsCompressedIfAccepted(t *testing.T) {
	for _, test := range []struct {
		name       string
		bytes      int
		compressed bool // the client accepts gzip
		want       bool
	}{
		{"large response", 20_000, true, true},
		{"small response", 100, true, false},
		{"gzip not accepted", 20_000, false, false},
	} {
		text := strings.Repeat("monthly payments rise ", test.bytes/22+1)[:test.bytes]
		encoding := ""
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			WriteCompressedJSON(w, r, http.StatusOK, text)
			encoding = w.Header().Get("Content-Encoding")
		}))
		traffic := NewTraffic("a", func(string) (string, bool) { return "b", true })
		client := traffic.Instrument(NewKeepAliveClient(ClientOptions{ConnectionsPerHost: 1, DialTimeout: time.Second, KeepAliveTimeout: time.Minute, AcceptGzip: test.compressed}), KindJobs)
		var got string
		if err := Get(t.Context(), client, "read", server.Listener.Addr().String(), "/", &got); err != nil || got != text {
			t.Errorf("%s: %d bytes read of %d, %v", test.name, len(got), len(text), err)
		}
		client.CloseIdleConnections()
		server.Close()
		if (encoding == "gzip") != test.want {
			t.Errorf("%s: encoding %q", test.name, encoding)
		}
		if crossed := traffic.CrossZoneBytes()[KindJobs]; test.want && crossed > int64(test.bytes)/2 {
			t.Errorf("%s: %d bytes crossed for %d", test.name, crossed, test.bytes)
		}
	}
}
