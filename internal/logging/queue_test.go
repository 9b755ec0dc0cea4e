package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/config"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (r *blockedWriter) Write(data []byte) (int, error) {
	<-r.release
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.written.Write(data)
}

func jsonLines(t *testing.T, text string) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for line := range strings.Lines(text) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		lines = append(lines, fields)
	}
	return lines
}

func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	output := &blockedWriter{release: make(chan struct{})}
	logger, queue, err := NewQueued(config.Log{Level: "info", Format: "json"}, output)
	if err != nil {
		t.Fatal(err)
	}
	const infos, warnings = 3 * maxQueuedLines, 100
	for range infos {
		logger.WithField("event", "request_served").Info("usual")
	}
	for range warnings {
		logger.WithField("event", "request_refused").Warn("urgent")
	}
	close(output.release) // the calls above did not block
	queue.Close()
	counts := map[string]int{}
	dropped := 0.0
	for _, line := range jsonLines(t, output.written.String()) {
		counts[line["event"].(string)]++
		if line["event"] == "lines_dropped" {
			dropped += line["dropped"].(map[string]any)["request_served"].(float64)
		}
	}
	if counts["request_refused"] != warnings {
		t.Errorf("%d of %d warnings were written", counts["request_refused"], warnings)
	}
	if counts["lines_dropped"] == 0 || counts["request_served"]+int(dropped) != infos {
		t.Errorf("%d written and %v reported as dropped of %d", counts["request_served"], dropped, infos)
	}
}

func TestQueuedLinesAreJSONWithFields(t *testing.T) {
	var written bytes.Buffer
	logger, queue, err := NewQueued(config.Log{Level: "info", Format: "json"}, &written)
	if err != nil {
		t.Fatal(err)
	}
	logger.WithFields(logrus.Fields{"event": "start", "part": "frontend", "age_ms": 7}).Info("Serving.")
	logger.Debug("below the level")
	queue.Close()
	lines := jsonLines(t, written.String())
	if len(lines) != 1 || lines[0]["event"] != "start" || lines[0]["age_ms"] != 7.0 || lines[0]["level"] != "info" || lines[0]["time"] == nil {
		t.Errorf("%v", lines)
	}
}

func BenchmarkLine(b *testing.B) {
	logger, queue, err := NewQueued(config.Log{Level: "info", Format: "json"}, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer queue.Close()
	entry := logger.WithField("part", "frontend")
	b.ReportAllocs()
	for b.Loop() {
		entry.WithFields(logrus.Fields{"event": "request_served", "request": "9c41d07be2a35f68", "age_ms": 812, "left_ms": 7188, "sends": 1}).Info("A request was served.")
	}
}
