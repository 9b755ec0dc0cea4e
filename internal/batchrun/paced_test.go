package batchrun

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// countedReader counts reads.
type countedReader struct {
	io.Reader
	reads int
}

func (c *countedReader) Read(into []byte) (int, error) {
	c.reads++
	return c.Reader.Read(into)
}

func TestPacedReaderReturnsAllBytesAndWaitsBetweenReads(t *testing.T) {
	const interval = 20 * time.Millisecond
	source := &countedReader{Reader: iotest.OneByteReader(strings.NewReader("abcd"))}
	began := time.Now()
	read, err := io.ReadAll(&pacedReader{ctx: t.Context(), source: source, interval: interval})
	if string(read) != "abcd" || err != nil {
		t.Fatalf("%q %v", read, err)
	}
	if least := time.Duration(source.reads-1) * interval; time.Since(began) < least {
		t.Errorf("%d reads took less than %v", source.reads, least)
	}
}

func TestPacedReaderDoesNotWaitAfterContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	reader := &pacedReader{ctx: ctx, source: iotest.OneByteReader(strings.NewReader("ab")), interval: time.Hour}
	if read, err := io.ReadAll(reader); string(read) != "ab" || err != nil {
		t.Errorf("%q %v", read, err)
	}
}
