package store

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"math/rand/v2"
	"mime"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dykewing/dykewing/internal/logform"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/replication"
)

func testBatch() messageBatch {
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, 8<<10)
	for i := range text {
		text[i] = byte('a' + random.IntN(26))
	}
	keep, _ := writeCommand(jobs.Command{KeepInline: &jobs.KeepInline{Parts: []jobs.InlinePart{{Job: "j", Text: string(text)}}}}, true)
	return messageBatch{
		From: "one", Address: "10.0.0.1:1", Reads: logform.Newest, Members: map[replication.ReplicaID]string{"three": "10.0.0.3:1"},
		Messages: []replication.WireMessage{
			{Type: replication.MessageAppend, Group: 1, From: "one", To: "two", Term: 3, Index: 6, Entries: []replication.Entry{
				{Index: 7, Term: 3, Data: keep}, {Index: 8, Term: 3, Kind: replication.EntryNoop}, {Index: 9, Term: 3, Data: []byte(`{"end_inline":{"job":"j"}}`)},
			}},
			{Type: replication.MessageAppend, Group: 2, From: "one", To: "two", Term: 4, Index: 1, Commit: 1},
			{Type: replication.MessageSnapshot, Group: 3, From: "one", To: "two", Snapshot: &replication.Snapshot{Index: 4, Data: []byte("state")}},
		},
	}
}

func TestAFramedBatchIsReadBackWhole(t *testing.T) {
	batch := testBatch()
	contentType, body, err := frameBatch("two", batch)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := openFrame(contentType, body); err != nil || !reflect.DeepEqual(got, batch) {
		t.Errorf("%v\ngot  %+v\nwant %+v", err, got, batch)
	}
	plain, _ := json.Marshal(batch)
	if len(body) >= len(plain) {
		t.Errorf("%d bytes framed, %d plain", len(body), len(plain))
	}
}

func TestABrokenFrameIsNoBatch(t *testing.T) {
	contentType, body, _ := frameBatch("two", testBatch())
	for cut := range body {
		if _, err := openFrame(contentType, body[:cut]); err == nil {
			t.Fatalf("cut at %d of %d it was read", cut, len(body))
		}
	}
	data := bytes.LastIndex(body, []byte(`{"end_inline"`))
	for _, at := range []int{data, data - 1, data - 4000, len(body) - 5} {
		garbled := bytes.Clone(body)
		garbled[at] ^= 1
		if _, err := openFrame(contentType, garbled); err == nil {
			t.Errorf("data garbled at %d of %d was read", at, len(body))
		}
	}
	if _, err := openFrame(contentType, append(bytes.Clone(body), 'x')); err == nil {
		t.Error("a byte too much was passed over")
	}
	for _, head := range []string{`{"to":"two","messages":[{"entries":[{"index":1}]}]}`, `{"to":"two","messages":[],"sizes":[0]}`, `{"to":"two","messages":[{"entries":[{"index":1}]}],"sizes":[-1]}`} {
		if _, err := openFrame(twoParts(t, []byte(head))); err == nil {
			t.Errorf("%s was read", head)
		}
	}
}

// twoParts gives a framed body of a head and no data.
func twoParts(t *testing.T, head []byte) (contentType string, body []byte) {
	t.Helper()
	var written bytes.Buffer
	parts := multipart.NewWriter(&written)
	for _, part := range [][]byte{head, nil} {
		if err := writePart(parts, part); err != nil {
			t.Fatal(err)
		}
	}
	if err := parts.Close(); err != nil {
		t.Fatal(err)
	}
	return mime.FormatMediaType(contentFrame, map[string]string{"boundary": parts.Boundary()}), written.Bytes()
}

// earlierFrame is a body as builds before multipart write it.
func earlierFrame(t *testing.T, to replication.ReplicaID, batch messageBatch) []byte {
	t.Helper()
	framed := frame{messageBatch: batch, To: to}
	framed.Messages = nil
	var data []byte
	for _, message := range batch.Messages {
		message.Entries = slices.Clone(message.Entries)
		for i, entry := range message.Entries {
			framed.Sizes = append(framed.Sizes, len(entry.Data))
			framed.Sum = crc32.Update(framed.Sum, castagnoli, entry.Data)
			data = append(data, entry.Data...)
			message.Entries[i].Data = nil
		}
		framed.Messages = append(framed.Messages, message)
	}
	head, err := json.Marshal(framed)
	if err != nil {
		t.Fatal(err)
	}
	return append(append(binary.AppendUvarint(nil, uint64(len(head))), head...), data...)
}

// Symptom: while machines were replaced by the next build, groups of both builds stood
// still, items ran again and bodies were sent over and over. Sequence: a store of the build
// before sends a frame that the next one does not read, is refused, and takes it for a
// store that reads plain entries only, to which no packed entry may go. Cause: the form of
// a body changed and its level did not.
func TestABodyOfTheBuildBeforeIsRead(t *testing.T) {
	batch := testBatch()
	batch.Reads = logform.Packed
	body := earlierFrame(t, "two", batch)
	request := func(body []byte) (messageBatch, error) {
		r := httptest.NewRequest(http.MethodPost, pathMessages, bytes.NewReader(body))
		r.Header.Set("Content-Type", contentEarlierFrame)
		got, failure := readBatch(httptest.NewRecorder(), r, logform.Newest)
		if failure != nil {
			return got, failure
		}
		return got, nil
	}
	if got, err := request(body); err != nil || !reflect.DeepEqual(got, batch) {
		t.Errorf("%v\ngot  %+v\nwant %+v", err, got, batch)
	}
	for cut := range body {
		if _, err := request(body[:cut]); err == nil {
			t.Fatalf("cut at %d of %d it was read", cut, len(body))
		}
	}
}

// TestEachProcessIsSentWhatItReads: a process of the version before, which decodes JSON
// only, gets plain bodies until it says that it reads more, and again once it was put back.
func TestEachProcessIsSentWhatItReads(t *testing.T) {
	var reads logform.Level
	forms := make(chan string, 8)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
		forms <- kind
		if reads >= logform.Packed {
			if _, failure := readBatch(w, r, reads); failure != nil {
				t.Error(failure)
			}
		} else if json.NewDecoder(r.Body).Decode(&messageBatch{}) != nil {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte(`{"error":{"code":"bad_request"},"outcome":"not_run"}`))
		}
	}))
	defer peer.Close()
	p := newPeers(time.Minute)
	p.heard(time.Now(), "two", peer.Listener.Addr().String())
	s := newSender("one", "10.0.0.1:1", p, newMetrics(prometheus.NewRegistry()), nil, logform.Newest)
	defer s.close()
	for _, step := range []struct {
		name  string
		reads logform.Level
		told  bool // its own batch came before
		want  string
	}{
		{"not heard yet", logform.Plain, false, "application/json"},
		{"an older process", logform.Plain, true, "application/json"},
		{"of a level that reads frames of one or the other kind", logform.Packed, true, "application/json"},
		{"a new process", logform.Multipart, true, contentFrame},
		{"put back to the older, unheard", logform.Plain, false, contentFrame},
		{"after its refusal", logform.Plain, false, "application/json"},
	} {
		reads = step.reads
		if step.told {
			p.saysReads("two", step.reads)
		}
		_ = s.exchange(context.Background(), "two", peer.Listener.Addr().String(), testBatch())
		if got := <-forms; got != step.want {
			t.Errorf("%s: sent as %s, want %s", step.name, got, step.want)
		}
	}
	// A heartbeat, or a few small entries, would be larger in parts.
	reads = logform.Packed
	p.saysReads("two", reads)
	few := testBatch()
	few.Messages = few.Messages[1:2]
	if err := s.exchange(context.Background(), "two", peer.Listener.Addr().String(), few); err != nil {
		t.Error(err)
	}
	if got := <-forms; got != "application/json" {
		t.Errorf("few entries are sent as %s", got)
	}
}

func TestACommandIsPackedOnlyWhereAllMembersReadIt(t *testing.T) {
	text := strings.Repeat("monthly payments rise ", 100)
	command := jobs.Command{CompleteInline: &jobs.CompleteInline{Results: []jobs.InlineResult{{Job: "j", Text: text, Kept: 2000}}}}
	for _, test := range []struct {
		name   string
		levels map[replication.ReplicaID]logform.Level
		want   bool
	}{
		{"nobody was heard", nil, false},
		{"one is older", map[replication.ReplicaID]logform.Level{"two": logform.Packed, "three": logform.Plain}, false},
		{"all are new", map[replication.ReplicaID]logform.Level{"two": logform.Packed, "three": logform.Packed}, true},
	} {
		p := newPeers(time.Minute)
		for replica, level := range test.levels {
			p.saysReads(replica, level)
		}
		packed := len(p.unread("one", logform.Packed, []replication.ReplicaID{"one", "two", "three"})) == 0
		data, err := writeCommand(command, packed)
		if err != nil {
			t.Fatal(err)
		}
		if packed != test.want || logform.IsPacked(data) != test.want {
			t.Errorf("%s: packed %t", test.name, logform.IsPacked(data))
		}
		read, err := readCommand(data)
		if err != nil {
			t.Fatal(err)
		}
		// What an older process reads holds the whole text.
		if got := len(read.CompleteInline.Results[0].Text); test.want && got != len(text)-2000 || !test.want && got != len(text) {
			t.Errorf("%s: %d bytes of text travel", test.name, got)
		}
	}
}

// A replica whose process would pass over an entry must not be sent it: it lags instead.
func TestAnEntryGoesOnlyToWhatReadsIt(t *testing.T) {
	p := newPeers(time.Minute)
	g := &group{parts: parts{peers: p}}
	packed := replication.WireMessage{To: "two", Entries: []replication.Entry{{Data: logform.Pack([]byte(`{}`))}}}
	plain := replication.WireMessage{To: "two", Entries: []replication.Entry{{Data: []byte(`{}`)}}}
	if g.readable(packed) || !g.readable(plain) || !g.readable(replication.WireMessage{To: "two"}) {
		t.Error("exactly the packed entry is to be held back")
	}
	p.saysReads("two", logform.Packed)
	if !g.readable(packed) {
		t.Error("a packed entry was held back from a process that reads it")
	}
}

// TestARollingRestartPacksOnceAllProcessesAreNew: stores of two versions work together,
// nothing that was acknowledged is lost, and no entry is packed before all read it.
func TestARollingRestartPacksOnceAllProcessesAreNew(t *testing.T) {
	const stores, each = 3, 10
	var packed atomic.Int64
	c := newCluster(t, stores, nil)
	c.stopAll()
	c.hooks = hooks{older: true, proposed: func(data []byte) {
		if logform.IsPacked(data) {
			packed.Add(1)
		}
	}}
	for _, m := range c.machines {
		m.start()
	}
	c.awaitLeader()
	c.createAll(0, each)
	c.hooks.older = false
	created := each
	for _, m := range c.machines {
		if packed.Load() > 0 {
			t.Fatalf("%d commands were packed while a member's process reads plain ones only", packed.Load())
		}
		m.crash()
		m.start()
		c.awaitLeader()
		c.createAll(created, each)
		created += each
	}
	c.await("packed commands", func() bool {
		c.createAll(created, 1)
		created++
		return packed.Load() > 0
	})
	// Those that start anew read what lies packed in their logs.
	for _, m := range c.machines {
		m.crash()
		m.start()
	}
	c.awaitLeader()
	c.mustHave(created)
}

// BenchmarkEntryToFour measures what a leader's processor spends on the forms of one
// result with a text of 10 KB on its way to four replicas, and on one replica's reading.
func BenchmarkEntryToFour(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	var letters strings.Builder
	for range 10 << 10 {
		letters.WriteByte(byte('a' + random.IntN(26))) // the worst of texts: nothing in it repeats
	}
	text := letters.String()
	command := jobs.Command{CompleteInline: &jobs.CompleteInline{Results: []jobs.InlineResult{{Job: "7c41e09b52d6a3f8", Text: text}}}}
	batch := func(data []byte) messageBatch {
		return messageBatch{From: "one", Messages: []replication.WireMessage{{Type: replication.MessageAppend, From: "one", To: "two", Entries: []replication.Entry{{Index: 1, Data: data}}}}}
	}
	b.Run("plain", func(b *testing.B) {
		size := 0
		for b.Loop() {
			data, _ := writeCommand(command, false)
			for range 4 {
				body, _ := json.Marshal(batch(data))
				size = len(body)
			}
		}
		b.ReportMetric(float64(size), "B/replica")
	})
	b.Run("packed", func(b *testing.B) {
		size := 0
		for b.Loop() {
			data, _ := writeCommand(command, true)
			for range 4 {
				_, body, _ := frameBatch("two", batch(data))
				size = len(body)
			}
		}
		b.ReportMetric(float64(size), "B/replica")
	})
	data, _ := writeCommand(command, false)
	plain, _ := json.Marshal(batch(data))
	b.Run("read plain", func(b *testing.B) {
		for b.Loop() {
			var got messageBatch
			_ = json.Unmarshal(plain, &got)
			_, _ = readCommand(got.Messages[0].Entries[0].Data)
		}
	})
	data, _ = writeCommand(command, true)
	contentType, framed, _ := frameBatch("two", batch(data))
	b.Run("read packed", func(b *testing.B) {
		for b.Loop() {
			got, _ := openFrame(contentType, framed)
			_, _ = readCommand(got.Messages[0].Entries[0].Data)
		}
	})
}
