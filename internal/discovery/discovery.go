// Package discovery reads the platform's list of workers in the JSON format of Prometheus
// HTTP service discovery (http_sd): an array of target groups, each with targets
// (host:port) and labels. The list may lag behind the actual state of the workers.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
)

// Labels of a target group.
const (
	LabelID      = "id"
	LabelService = "service"
	LabelPlace   = "place"
	LabelRegion  = "region"
	LabelZone    = "zone"
	LabelSlots   = "slots"
	LabelState   = "state" // StateLive or StateLeaving; empty is live
)

// Values of LabelState.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Group is a target group, one element of the list.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// List is a source of the workers that the platform knows.
type List interface {
	// Workers returns the listed workers, which may be valid beside an error. Both
	// results are nil if the list has not changed since the last call.
	Workers(ctx context.Context) ([]api.Worker, error)
}

// HTTPList reads the list from a URL. It sends the entity tag of the previous list in
// If-None-Match (RFC 9110), so that a server that supports entity tags does not resend an
// unchanged list. It is not safe for concurrent use.
type HTTPList struct {
	Address string // host:port
	Path    string
	Client  *http.Client

	etag string // of the last list that was decoded
}

// Workers reads the list. It skips invalid targets and returns the valid workers together
// with the error of the last invalid one. Both results are nil if the list has not changed
// since the last call.
func (l *HTTPList) Workers(ctx context.Context) ([]api.Worker, error) {
	const step = "read machine list"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Address+l.Path, nil)
	if err != nil {
		return nil, api.NewError(step, l.Address, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	if l.etag != "" {
		request.Header.Set("If-None-Match", l.etag)
	}
	response, err := l.Client.Do(request)
	if err != nil {
		return nil, transport.SendError(step, l.Address, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, transport.ReadError(step, l.Address, response)
	}
	var groups []Group
	body := io.LimitReader(response.Body, transport.MaxControlBytes)
	if err := json.NewDecoder(body).Decode(&groups); err != nil {
		return nil, api.NewError(step, l.Address, api.CodeUpstream, api.OutcomeUnknown, "read answer: %w", err)
	}
	l.etag = response.Header.Get("ETag")
	return ParseWorkers(groups)
}

// ParseWorkers returns the workers of target groups. It skips invalid targets and returns the
// error of the last one beside the valid workers.
func ParseWorkers(groups []Group) ([]api.Worker, error) {
	var workers []api.Worker
	var problem error
	for _, group := range groups {
		for _, target := range group.Targets {
			worker, err := parseWorker(target, group.Labels)
			if err != nil {
				problem = err
				continue
			}
			workers = append(workers, worker)
		}
	}
	return workers, problem
}

const defaultSlots = 8

func parseWorker(target string, labels map[string]string) (api.Worker, error) {
	if _, err := netip.ParseAddrPort(target); err != nil {
		return api.Worker{}, fmt.Errorf("read machine list: target %q is not IP:port", target)
	}
	worker := api.Worker{
		ID: api.WorkerID(labels[LabelID]), Address: target,
		Service: api.ServiceName(labels[LabelService]), Place: api.PlaceName(labels[LabelPlace]),
		Location: api.Location{Region: api.RegionName(labels[LabelRegion]), Zone: api.ZoneName(labels[LabelZone])},
		Slots:    defaultSlots, Leaving: labels[LabelState] == StateLeaving,
	}
	if worker.ID == "" {
		worker.ID = api.WorkerID(target)
	}
	if text := labels[LabelSlots]; text != "" {
		slots, err := strconv.Atoi(text)
		if err != nil || slots < 1 {
			return api.Worker{}, fmt.Errorf("read machine list: label slots %q of %s is not a positive number", text, target)
		}
		worker.Slots = slots
	}
	return worker, nil
}

// Poll reads the list at once and then every interval until ctx ends. It calls deliver with
// each changed list and failed with each error; both may be called for one read.
func Poll(ctx context.Context, list List, interval time.Duration, deliver func([]api.Worker), failed func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		workers, err := list.Workers(ctx)
		if err != nil && ctx.Err() == nil {
			failed(err)
		}
		if workers != nil {
			deliver(workers)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
