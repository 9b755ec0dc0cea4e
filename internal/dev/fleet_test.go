package dev

import (
	"bytes"
	"context"
	"testing"

	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/logging"
)

func TestExercise(t *testing.T) {
	logger, err := logging.New(config.Log{Level: "info", Format: "text"}, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := Start(t.Context(), DefaultOptions(logger))
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop()
	var output bytes.Buffer
	if err := Exercise(context.Background(), fleet, &output); err != nil {
		t.Fatalf("%v\n%s", err, output.String())
	}
}
