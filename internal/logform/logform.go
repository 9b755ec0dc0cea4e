// Package logform gives the forms in which the data of a log's entry is written: plain
// JSON, which every process reads, and packed, which one reads that says so.
//
// An entry is packed once, by the leader that proposes it, so that it crosses to each
// replica, and lies on each disk, in its small form.
package logform

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Level tells which forms a process reads; a process that tells none reads Plain.
type Level int

// The levels. Each one reads the forms of those before it.
const (
	Plain  Level = 0 // JSON
	Packed Level = 1 // compressed JSON, results that name what is kept
	// Multipart: bodies between stores of two parts, too. Processes of level 1 read them or
	// a frame that was used before, and do not say which: they are sent JSON.
	Multipart Level = 2
)

// Newest is the level of this process.
const Newest = Multipart

// The first byte of what is packed; JSON begins with none of them.
const (
	markStored     = 's' // the JSON as it is
	markCompressed = 'z' // the length of the JSON, and the JSON compressed
)

const (
	// leastCompressed bytes are worth compressing: below it a command is mostly ids, and
	// 10 to 16 µs (BenchmarkPack) save under 100 bytes.
	leastCompressed = 256
	// MaximumBytes of one entry's JSON, as of the largest command that is taken, with
	// room for what the encoding adds.
	MaximumBytes = 64 << 20
)

var errForm = errors.New("the entry's form is not known or broken")

// compressors are kept, as each takes about a megabyte. BestSpeed took 0.14 ms for 10 KB
// of text where the usual level took 0.6 ms and gave a fifth fewer bytes (a benchmark of
// all levels on one core of a Xeon).
var compressors = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // only for a level that does not exist
	}
	return compressor
}}

var readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// Pack gives the packed form of JSON.
func Pack(plain []byte) []byte {
	if len(plain) >= leastCompressed {
		if packed, ok := compress(plain); ok {
			return packed
		}
	}
	return append([]byte{markStored}, plain...)
}

func compress(plain []byte) ([]byte, bool) {
	var packed bytes.Buffer
	packed.Grow(len(plain))
	packed.Write(binary.AppendUvarint([]byte{markCompressed}, uint64(len(plain))))
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&packed)
	_, err := compressor.Write(plain)
	err = errors.Join(err, compressor.Close())
	return packed.Bytes(), err == nil && packed.Len() < len(plain)
}

// IsPacked tells whether a process must read Packed to read the data.
func IsPacked(data []byte) bool {
	return len(data) > 0 && (data[0] == markStored || data[0] == markCompressed)
}

// Open gives the JSON of data in any form; it may share data's memory. What is not whole
// is an error, never a part of it.
func Open(data []byte) ([]byte, error) {
	if !IsPacked(data) {
		return data, nil
	}
	if data[0] == markStored {
		return data[1:], nil
	}
	size, n := binary.Uvarint(data[1:])
	if n <= 0 || size > MaximumBytes {
		return nil, errForm
	}
	reader := readers.Get().(io.ReadCloser)
	defer readers.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(data[1+n:]), nil); err != nil {
		return nil, fmt.Errorf("%w: %w", errForm, err)
	}
	// Memory is taken as bytes come: the length is only what the data says.
	plain, err := io.ReadAll(io.LimitReader(reader, int64(size)+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errForm, err)
	}
	if uint64(len(plain)) != size {
		return nil, errForm
	}
	return plain, nil
}
