// Package discovery reads the platform's lagging machine list in the published
// HTTP service-discovery JSON (Prometheus http_sd): an array of target groups,
// each with targets (host:port) and labels.
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

// Labels that a target group carries.
const (
	LabelID      = "id"
	LabelService = "service"
	LabelPlace   = "place"
	LabelRegion  = "region"
	LabelZone    = "zone"
	LabelSlots   = "slots"
	LabelState   = "state" // StateLive or StateLeaving; empty is live
)

// The states of a machine.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Group is one element of the list.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// List gives the workers that the platform knows.
type List interface {
	Workers(ctx context.Context) ([]api.Worker, error)
}

// HTTPList reads the list from a URL. It asks with the entity tag of the list
// that it has (RFC 9110), so that a list that did not change is not sent again
// by a platform that gives tags. It is not safe for concurrent use.
type HTTPList struct {
	Address string // host:port
	Path    string
	Client  *http.Client

	tag string // of the last list that was read whole
}

// Workers reads the list; targets that are not valid are left out and reported
// in the error beside the valid ones. Both are nil when nothing changed since
// the last call.
func (l *HTTPList) Workers(ctx context.Context) ([]api.Worker, error) {
	const step = "read machine list"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Address+l.Path, nil)
	if err != nil {
		return nil, api.NewError(step, l.Address, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	if l.tag != "" {
		request.Header.Set("If-None-Match", l.tag)
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
	body := io.LimitReader(response.Body, transport.MaximumControlBytes)
	if err := json.NewDecoder(body).Decode(&groups); err != nil {
		return nil, api.NewError(step, l.Address, api.CodeUpstream, api.OutcomeUnknown, "read answer: %w", err)
	}
	l.tag = response.Header.Get("ETag")
	return WorkersOf(groups)
}

// WorkersOf turns target groups into workers.
func WorkersOf(groups []Group) ([]api.Worker, error) {
	var workers []api.Worker
	var problem error
	for _, group := range groups {
		for _, target := range group.Targets {
			worker, err := workerOf(target, group.Labels)
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

func workerOf(target string, labels map[string]string) (api.Worker, error) {
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

// Poll reads the list every interval until ctx ends. The last good list stays
// when a read fails; failed is told why.
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
