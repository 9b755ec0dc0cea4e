// Package dependencies keeps the libraries that open parts are to use in
// go.mod while they are being written; it goes when they have landed.
package dependencies

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/google/uuid"
	_ "github.com/openai/openai-go/v3"
	_ "go.etcd.io/bbolt"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
