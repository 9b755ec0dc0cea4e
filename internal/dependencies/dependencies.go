// Package dependencies keeps the libraries that open parts are to use in
// go.mod while they are being written; it goes when they have landed.
package dependencies

import (
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/google/uuid"
	_ "github.com/openai/openai-go/v3"
	_ "go.etcd.io/bbolt"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "pgregory.net/rapid"
)
