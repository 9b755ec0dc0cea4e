package engine

import (
	"bytes"

	"github.com/dykewing/dykewing/routing"
)

// promptKeys begin the prompt in bodies of the OpenAI API.
var promptKeys = [][]byte{[]byte(`"messages"`), []byte(`"prompt"`)}

// PromptPrefix gives the hashes of a request's prompt by which prefix caches
// are known. The body is not parsed, so that the cost stays small: the prompt is
// what follows its key. Bodies without one have none.
func PromptPrefix(body []byte) []uint64 {
	for _, key := range promptKeys {
		if at := bytes.Index(body, key); at >= 0 {
			return routing.PrefixHashes(body[at+len(key):])
		}
	}
	return nil
}
