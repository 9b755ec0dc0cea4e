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
	keep, _ := encodeCommand(jobs.Command{CheckpointInline: &jobs.CheckpointInline{Parts: []jobs.InlinePart{{Job: "j", Text: string(text)}}}}, true)
	return messageBatch{
		From: "one", Address: "10.0.0.1:1", Level: logform.CurrentLevel, Members: map[replication.ReplicaID]string{"three": "10.0.0.3:1"},
		Messages: []replication.WireMessage{
			{Type: replication.MessageAppend, Group: 1, From: "one", To: "two", Term: 3, Index: 6, Entries: []replication.Entry{
				{Index: 7, Term: 3, Data: keep}, {Index: 8, Term: 3, Kind: replication.EntryNoop}, {Index: 9, Term: 3, Data: []byte(`{"end_inline":{"job":"j"}}`)},
			}},
			{Type: replication.MessageAppend, Group: 2, From: "one", To: "two", Term: 4, Index: 1, Commit: 1},
			{Type: replication.MessageSnapshot, Group: 3, From: "one", To: "two", Snapshot: &replication.Snapshot{Index: 4, Data: []byte("state")}},
		},
	}
}

func TestFramedBatchRoundTrip(t *testing.T) {
	batch := testBatch()
	contentType, body, err := encodeBatch("two", batch)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeBatch(contentType, body); err != nil || !reflect.DeepEqual(got, batch) {
		t.Errorf("%v\ngot  %+v\nwant %+v", err, got, batch)
	}
	plain, _ := json.Marshal(batch)
	if len(body) >= len(plain) {
		t.Errorf("framed body has %d bytes, plain body %d", len(body), len(plain))
	}
}

func TestInvalidFrameIsRejected(t *testing.T) {
	contentType, body, _ := encodeBatch("two", testBatch())
	for cut := range body {
		if _, err := decodeBatch(contentType, body[:cut]); err == nil {
			t.Fatalf("accepted a body truncated to %d of %d bytes", cut, len(body))
		}
	}
	data := bytes.LastIndex(body, []byte(`{"end_inline"`))
	for _, at := range []int{data, data - 1, data - 4000, len(body) - 5} {
		garbled := bytes.Clone(body)
		garbled[at] ^= 1
		if _, err := decodeBatch(contentType, garbled); err == nil {
			t.Errorf("accepted a frame garbled at byte %d of %d", at, len(body))
		}
	}
	if _, err := decodeBatch(contentType, append(bytes.Clone(body), 'x')); err == nil {
		t.Error("accepted a trailing byte")
	}
	for _, head := range []string{`{"to":"two","messages":[{"entries":[{"index":1}]}]}`, `{"to":"two","messages":[],"sizes":[0]}`, `{"to":"two","messages":[{"entries":[{"index":1}]}],"sizes":[-1]}`} {
		if _, err := decodeBatch(multipartBody(t, []byte(head))); err == nil {
			t.Errorf("accepted %s", head)
		}
	}
}

// multipartBody returns a framed body with the given JSON and no data.
func multipartBody(t *testing.T, head []byte) (contentType string, body []byte) {
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
	return mime.FormatMediaType(contentMultipart, map[string]string{"boundary": parts.Boundary()}), written.Bytes()
}

// encodeLegacyFrame returns a body as builds before multipart send it.
func encodeLegacyFrame(t *testing.T, to replication.ReplicaID, batch messageBatch) []byte {
	t.Helper()
	framed := frame{messageBatch: batch, To: to}
	framed.Messages = nil
	var data []byte
	for _, message := range batch.Messages {
		message.Entries = slices.Clone(message.Entries)
		for i, entry := range message.Entries {
			framed.Sizes = append(framed.Sizes, len(entry.Data))
			framed.Checksum = crc32.Update(framed.Checksum, castagnoli, entry.Data)
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

// Guards against a stalled rolling upgrade: a store that rejects the previous build's frames is
// downgraded to plain entries by its peers and then gets no packed entries.
func TestLegacyFrameIsAccepted(t *testing.T) {
	batch := testBatch()
	batch.Level = logform.Packed
	body := encodeLegacyFrame(t, "two", batch)
	request := func(body []byte) (messageBatch, error) {
		r := httptest.NewRequest(http.MethodPost, pathMessages, bytes.NewReader(body))
		r.Header.Set("Content-Type", contentLegacyFrame)
		got, failure := readBatch(httptest.NewRecorder(), r, logform.CurrentLevel)
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
			t.Fatalf("accepted a body truncated to %d of %d bytes", cut, len(body))
		}
	}
}

// Checks that a receiver gets plain bodies until it announces a higher level, and again after
// it was downgraded.
func TestBatchFormatFollowsReceiverLevel(t *testing.T) {
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
	p.recordContact(time.Now(), "two", peer.Listener.Addr().String())
	s := newSender("one", "10.0.0.1:1", p, newMetrics(prometheus.NewRegistry()), nil, logform.CurrentLevel)
	defer s.close()
	for _, step := range []struct {
		name      string
		reads     logform.Level
		announced bool // the receiver announced its level
		want      string
	}{
		{"unknown level", logform.Plain, false, "application/json"},
		{"plain level", logform.Plain, true, "application/json"},
		{"packed level, legacy or multipart frames", logform.Packed, true, "application/json"},
		{"multipart level", logform.Multipart, true, contentMultipart},
		{"downgraded without announcement", logform.Plain, false, contentMultipart},
		{"after rejecting a frame", logform.Plain, false, "application/json"},
	} {
		reads = step.reads
		if step.announced {
			p.setLevel("two", step.reads)
		}
		_ = s.postBatch(context.Background(), "two", peer.Listener.Addr().String(), testBatch())
		if got := <-forms; got != step.want {
			t.Errorf("%s: sent as %s, want %s", step.name, got, step.want)
		}
	}
	// Heartbeats and small entries would be larger as multipart.
	reads = logform.Packed
	p.setLevel("two", reads)
	few := testBatch()
	few.Messages = few.Messages[1:2]
	if err := s.postBatch(context.Background(), "two", peer.Listener.Addr().String(), few); err != nil {
		t.Error(err)
	}
	if got := <-forms; got != "application/json" {
		t.Errorf("small batch sent as %s", got)
	}
}

func TestCommandIsPackedOnlyIfAllMembersDecodeIt(t *testing.T) {
	text := strings.Repeat("monthly payments rise ", 100)
	command := jobs.Command{CompleteInline: &jobs.CompleteInline{Results: []jobs.InlineResult{{Job: "j", Text: text, CheckpointBytes: 2000}}}}
	for _, test := range []struct {
		name   string
		levels map[replication.ReplicaID]logform.Level
		want   bool
	}{
		{"unknown levels", nil, false},
		{"one decodes plain only", map[replication.ReplicaID]logform.Level{"two": logform.Packed, "three": logform.Plain}, false},
		{"all decode packed", map[replication.ReplicaID]logform.Level{"two": logform.Packed, "three": logform.Packed}, true},
	} {
		p := newPeers(time.Minute)
		for replica, level := range test.levels {
			p.setLevel(replica, level)
		}
		packed := len(p.belowLevel("one", logform.Packed, []replication.ReplicaID{"one", "two", "three"})) == 0
		data, err := encodeCommand(command, packed)
		if err != nil {
			t.Fatal(err)
		}
		if packed != test.want || logform.IsPacked(data) != test.want {
			t.Errorf("%s: packed %t", test.name, logform.IsPacked(data))
		}
		read, err := decodeCommand(data)
		if err != nil {
			t.Fatal(err)
		}
		// Without packing the command holds the whole text.
		if got := len(read.CompleteInline.Results[0].Text); test.want && got != len(text)-2000 || !test.want && got != len(text) {
			t.Errorf("%s: command holds %d bytes of text", test.name, got)
		}
	}
}

// A replica that would ignore a packed entry must lag rather than diverge.
func TestPackedEntryIsWithheldFromReplicaThatCannotDecodeIt(t *testing.T) {
	p := newPeers(time.Minute)
	g := &group{groupDependencies: groupDependencies{peers: p}}
	packed := replication.WireMessage{To: "two", Entries: []replication.Entry{{Data: logform.Pack([]byte(`{}`))}}}
	plain := replication.WireMessage{To: "two", Entries: []replication.Entry{{Data: []byte(`{}`)}}}
	if g.canDecode(packed) || !g.canDecode(plain) || !g.canDecode(replication.WireMessage{To: "two"}) {
		t.Error("canDecode must be false for the packed entry only")
	}
	p.setLevel("two", logform.Packed)
	if !g.canDecode(packed) {
		t.Error("packed entry withheld from a process that decodes it")
	}
}

// Checks that stores of two builds interoperate without losing acknowledged commands, and that
// no entry is packed before all members decode it.
func TestRollingUpgradeEnablesPackingLast(t *testing.T) {
	const stores, each = 3, 10
	var packed atomic.Int64
	c := newCluster(t, stores, nil)
	c.stopAll()
	c.hooks = hooks{legacyFormat: true, proposed: func(data []byte) {
		if logform.IsPacked(data) {
			packed.Add(1)
		}
	}}
	for _, m := range c.machines {
		m.start()
	}
	c.awaitLeader()
	c.createAll(0, each)
	c.hooks.legacyFormat = false
	created := each
	for _, m := range c.machines {
		if packed.Load() > 0 {
			t.Fatalf("%d commands were packed while a member decodes plain ones only", packed.Load())
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
	// Restarted stores must decode packed entries of their logs.
	for _, m := range c.machines {
		m.crash()
		m.start()
	}
	c.awaitLeader()
	c.requireFiles(created)
}

// BenchmarkEntryEncoding measures encoding a 10 KB result for four replicas, and decoding it
// on one.
func BenchmarkEntryEncoding(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	var letters strings.Builder
	for range 10 << 10 {
		letters.WriteByte(byte('a' + random.IntN(26))) // incompressible
	}
	text := letters.String()
	command := jobs.Command{CompleteInline: &jobs.CompleteInline{Results: []jobs.InlineResult{{Job: "7c41e09b52d6a3f8", Text: text}}}}
	batch := func(data []byte) messageBatch {
		return messageBatch{From: "one", Messages: []replication.WireMessage{{Type: replication.MessageAppend, From: "one", To: "two", Entries: []replication.Entry{{Index: 1, Data: data}}}}}
	}
	b.Run("plain", func(b *testing.B) {
		size := 0
		for b.Loop() {
			data, _ := encodeCommand(command, false)
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
			data, _ := encodeCommand(command, true)
			for range 4 {
				_, body, _ := encodeBatch("two", batch(data))
				size = len(body)
			}
		}
		b.ReportMetric(float64(size), "B/replica")
	})
	data, _ := encodeCommand(command, false)
	plain, _ := json.Marshal(batch(data))
	b.Run("read plain", func(b *testing.B) {
		for b.Loop() {
			var got messageBatch
			_ = json.Unmarshal(plain, &got)
			_, _ = decodeCommand(got.Messages[0].Entries[0].Data)
		}
	})
	data, _ = encodeCommand(command, true)
	contentType, framed, _ := encodeBatch("two", batch(data))
	b.Run("read packed", func(b *testing.B) {
		for b.Loop() {
			got, _ := decodeBatch(contentType, framed)
			_, _ = decodeCommand(got.Messages[0].Entries[0].Data)
		}
	})
}
