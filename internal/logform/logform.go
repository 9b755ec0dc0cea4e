// Package logform encodes the data of replicated log entries: as plain JSON, which every
// process decodes, or packed, which only processes that announce a Level of at least Packed
// decode.
//
// The leader packs an entry once when it proposes it, so that it is sent to replicas and
// stored on disk in packed form.
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

// Level is the version of the encodings that a process decodes. Processes that do not
// announce a level decode Plain.
type Level int

// Levels. Each one includes the encodings of those before it.
const (
	Plain  Level = 0 // JSON
	Packed Level = 1 // compressed JSON, results that refer to stored data
	// Multipart adds two-part bodies between stores. Processes of level 1 decode either
	// these or an earlier framing and do not announce which, so that they are sent JSON.
	Multipart Level = 2
)

// CurrentLevel is the level that this process announces.
const CurrentLevel = Multipart

// The first byte of packed data, never that of JSON.
const (
	prefixStored     = 's' // the JSON, not compressed
	prefixCompressed = 'z' // the uvarint length of the JSON, and the JSON compressed with DEFLATE
)

const (
	// minCompressBytes is the size below which compression saves too little.
	minCompressBytes = 256
	// MaxBytes is the maximum size of the JSON of one entry, sufficient for the largest
	// accepted command.
	MaxBytes = 64 << 20
)

var errInvalidEntry = errors.New("log entry has an unknown encoding or is corrupt")

// compressorPool reuses compressors, each of which takes about a megabyte. BestSpeed is
// several times as fast as the default level, for moderately larger output.
var compressorPool = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is invalid
	}
	return compressor
}}

var decompressorPool = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// Pack returns the packed encoding of JSON.
func Pack(plain []byte) []byte {
	if len(plain) >= minCompressBytes {
		if packed, ok := compress(plain); ok {
			return packed
		}
	}
	return append([]byte{prefixStored}, plain...)
}

func compress(plain []byte) ([]byte, bool) {
	var packed bytes.Buffer
	packed.Grow(len(plain))
	packed.Write(binary.AppendUvarint([]byte{prefixCompressed}, uint64(len(plain))))
	compressor := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(compressor)
	compressor.Reset(&packed)
	_, err := compressor.Write(plain)
	err = errors.Join(err, compressor.Close())
	return packed.Bytes(), err == nil && packed.Len() < len(plain)
}

// IsPacked reports whether data is packed rather than plain JSON.
func IsPacked(data []byte) bool {
	return len(data) > 0 && (data[0] == prefixStored || data[0] == prefixCompressed)
}

// Unpack returns the JSON of data in any encoding; the result may share memory with data. It
// returns an error for truncated or corrupt packed data, never a part of the JSON.
func Unpack(data []byte) ([]byte, error) {
	if !IsPacked(data) {
		return data, nil
	}
	if data[0] == prefixStored {
		return data[1:], nil
	}
	size, n := binary.Uvarint(data[1:])
	if n <= 0 || size > MaxBytes {
		return nil, errInvalidEntry
	}
	reader := decompressorPool.Get().(io.ReadCloser)
	defer decompressorPool.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(data[1+n:]), nil); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidEntry, err)
	}
	// Does not allocate by size, which may be corrupt.
	plain, err := io.ReadAll(io.LimitReader(reader, int64(size)+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidEntry, err)
	}
	if uint64(len(plain)) != size {
		return nil, errInvalidEntry
	}
	return plain, nil
}
