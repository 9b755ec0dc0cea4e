package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/guard"
	"github.com/dykewing/dykewing/internal/transport"
)

func registerQuarantine(application *kingpin.Application, s *session) {
	command := application.Command("quarantine", "Requests that crashed workers and are no longer dispatched.")
	command.Command("list", "List quarantined requests with the workers that crashed.").Action(action(s.listQuarantine))
	release := command.Command("release", "Allow a quarantined request to be dispatched again.")
	digest := release.Arg("digest", "Digest of the request, from the list or a log line.").Required().String()
	release.Action(action(func() error { return s.release(*digest) }))
}

func (s *session) listQuarantine() error {
	if err := s.requireNode(); err != nil {
		return err
	}
	ctx, cancel := s.newContext()
	defer cancel()
	requests := []guard.QuarantinedRequest{}
	if err := transport.Get(ctx, s.client, "list quarantine", s.node, guard.PathQuarantine, &requests); err != nil {
		return err
	}
	rows := make([]string, 0, len(requests))
	for _, request := range requests {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s", request.Digest, request.Trials, strings.Join(request.Workers, ",")))
	}
	return s.print(requests, "DIGEST\tTRIALS\tWORKERS", rows)
}

func (s *session) release(digest string) error {
	if err := s.requireNode(); err != nil {
		return err
	}
	ctx, cancel := s.newContext()
	defer cancel()
	if err := s.delete(ctx, "release", guard.PathQuarantine+"/"+digest); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.out, "%s is sent to workers again once all processes know\n", digest)
	return err
}

// delete sends a DELETE request to the node and returns an error for an error
// status.
func (s *session) delete(ctx context.Context, step, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+s.node+path, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", step, err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return transport.SendError(step, s.node, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return transport.ReadError(step, s.node, response)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
