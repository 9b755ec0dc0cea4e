package logform

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// text returns n bytes of repetitive words, similar to the output of a language model.
func text(n int) string {
	random := rand.New(rand.NewPCG(1, 2))
	words := strings.Fields("the loan is repaid over thirty years at a rate that the bank may change each year so monthly payments rise")
	var b strings.Builder
	for b.Len() < n {
		b.WriteString(words[random.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()[:n]
}

func command(n int) []byte {
	return []byte(`{"time":"2026-01-02T03:04:05Z","complete_inline":{"results":[{"job":"7c41e09b52d6a3f8","index":3,"text":"` + text(n) + `"}]}}`)
}

func TestPackRoundTrip(t *testing.T) {
	for _, test := range []struct {
		name  string
		plain []byte
		max   int // packed bytes
	}{
		{"empty", nil, 1},
		{"a small command", []byte(`{"end_inline":{"job":"j"}}`), 27},
		{"a text", command(10_000), 5_000},
		{"a large text", command(1 << 20), 500 << 10},
	} {
		packed := Pack(test.plain)
		if !IsPacked(packed) || len(packed) > test.max {
			t.Errorf("%s: %d bytes packed from %d, IsPacked %t", test.name, len(packed), len(test.plain), IsPacked(packed))
		}
		if plain, err := Unpack(packed); err != nil || !bytes.Equal(plain, test.plain) {
			t.Errorf("%s: opened as %d bytes, %v", test.name, len(plain), err)
		}
	}
}

func TestUnpackReturnsPlainJSONUnchanged(t *testing.T) {
	for _, plain := range []string{`{"time":"2026-01-02T03:04:05Z"}`, ``, `{}`} {
		if got, err := Unpack([]byte(plain)); err != nil || string(got) != plain || IsPacked([]byte(plain)) {
			t.Errorf("%q: %q, %v", plain, got, err)
		}
	}
}

// TestUnpackRejectsTruncatedAndCorruptData guards against accepting a part of an entry.
func TestUnpackRejectsTruncatedAndCorruptData(t *testing.T) {
	packed := Pack(command(2_000))
	for cut := 1; cut < len(packed); cut++ {
		if plain, err := Unpack(packed[:cut]); err == nil {
			t.Fatalf("truncated to %d of %d: opened as %d bytes", cut, len(packed), len(plain))
		}
	}
	for _, broken := range [][]byte{{prefixCompressed}, {prefixCompressed, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, append([]byte{prefixCompressed, 3}, packed[3:]...)} {
		if _, err := Unpack(broken); err == nil {
			t.Errorf("%v was accepted", broken[:min(len(broken), 12)])
		}
	}
}

func TestPackRoundTripOfAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := rapid.SliceOfN(rapid.Byte(), 0, 4000).Draw(t, "plain")
		if got, err := Unpack(Pack(plain)); err != nil || !bytes.Equal(got, plain) {
			t.Fatalf("%d bytes were opened as %d, %v", len(plain), len(got), err)
		}
	})
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add(Pack(command(300)))
	f.Fuzz(func(t *testing.T, data []byte) {
		if plain, err := Unpack(data); err == nil && len(plain) > MaxBytes {
			t.Errorf("%d bytes", len(plain))
		}
	})
}

// BenchmarkPack measures the cost per entry at the leader.
func BenchmarkPack(b *testing.B) {
	for name, n := range map[string]int{"100 B": 100, "1 KB": 1 << 10, "10 KB": 10 << 10, "64 KB": 64 << 10} {
		plain := command(n)
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(plain)))
			size := 0
			for b.Loop() {
				size = len(Pack(plain))
			}
			b.ReportMetric(float64(size)/float64(len(plain)), "packed/plain")
		})
	}
}

// BenchmarkUnpack measures the cost per entry at each replica.
func BenchmarkUnpack(b *testing.B) {
	packed := Pack(command(10 << 10))
	b.SetBytes(10 << 10)
	for b.Loop() {
		if _, err := Unpack(packed); err != nil {
			b.Fatal(err)
		}
	}
}
