package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/routing"
)

const (
	batchPause          = 20 * time.Millisecond // between looks for idle room
	maximumAnswerBytes  = 16 << 20
	settleRetryInterval = 200 * time.Millisecond
)

// pullBatch claims items from group leaders while there is idle room.
func (r *Router) pullBatch(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		claimed := 0
		if !r.node.Leaving() {
			claimed = r.claimRound(ctx, &running)
		}
		if claimed == 0 {
			select {
			case <-time.After(batchPause):
			case <-ctx.Done():
			}
		}
	}
}

// claimRound asks each leader that has waiting items once.
func (r *Router) claimRound(ctx context.Context, running *sync.WaitGroup) int {
	claimed := 0
	for _, candidate := range r.node.Nodes() {
		for _, group := range candidate.Summary.Groups {
			if !group.Leading || len(group.Waiting) == 0 {
				continue
			}
			claimed += r.claimFrom(ctx, candidate.Address, group, running)
		}
	}
	return claimed
}

func (r *Router) claimFrom(ctx context.Context, address string, group api.GroupSummary, running *sync.WaitGroup) int {
	claim := jobs.ClaimItems{Router: r.node.ID(), Wants: r.wants(group.Waiting)}
	if len(claim.Wants) == 0 {
		return 0
	}
	var grant jobs.Grant
	ctx, cancel := context.WithTimeout(ctx, r.node.Settings.Router.ClaimWait)
	defer cancel()
	err := transport.Call(ctx, r.node.Control, "claim items", address, storeclient.ClaimsPath(group.Group), claim, &grant)
	if err != nil {
		r.log.WithError(err).Debug("A store gave no items.")
		return 0
	}
	for _, item := range grant.Items {
		running.Go(func() { r.runItem(group.Group, address, item) })
	}
	return len(grant.Items)
}

// wants lists the idle room of the rows whose service has waiting items.
func (r *Router) wants(waiting []api.ServiceBacklog) []jobs.ClaimWant {
	snapshot := r.node.Table()
	if snapshot == nil {
		return nil
	}
	var wants []jobs.ClaimWant
	_ = r.admission.Inspect(func() {
		for _, backlog := range waiting {
			for _, row := range snapshot.Service(backlog.Service) {
				if room := r.machine.Room(time.Now(), row.Key()); room > 0 {
					wants = append(wants, jobs.ClaimWant{Service: row.Service, Place: row.Place, Room: room})
				}
			}
		}
	})
	return wants
}

// runItem runs one granted item and reports it.
func (r *Router) runItem(group api.GroupID, address string, item jobs.GrantedItem) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(item.LifetimeMs)*time.Millisecond)
	defer cancel()
	id := api.RequestID(uuid.NewString())
	if !item.Repeatable && !r.commitStart(ctx, group, address, item, id) {
		return
	}
	settle := jobs.Settle{Router: r.node.ID()}
	result, failure := r.attemptItem(ctx, id, item)
	switch {
	case failure == nil:
		settle.Results = []jobs.ItemResult{result}
	case item.Repeatable:
		settle.Returned = []jobs.ReturnedItem{{Item: item.Item, Epoch: item.Epoch, Reason: jobs.ReturnFailed}}
	default:
		settle.Results = []jobs.ItemResult{{Item: item.Item, CustomID: item.CustomID, Outcome: failure.Outcome, Request: id, Error: failure.Error()}}
	}
	r.settle(ctx, group, address, settle)
}

// commitStart commits that a non-repeatable item is about to be sent.
func (r *Router) commitStart(ctx context.Context, group api.GroupID, address string, item jobs.GrantedItem, id api.RequestID) bool {
	command := jobs.Command{Start: &jobs.Start{Item: item.Item, Router: r.node.ID(), Request: id, Epoch: item.Epoch}}
	var result jobs.Result
	err := transport.Call(ctx, r.node.Control, "commit start", address, storeclient.CommandsPath(group), command, &result)
	return err == nil && result.Code == ""
}

func (r *Router) attemptItem(ctx context.Context, id api.RequestID, item jobs.GrantedItem) (jobs.ItemResult, *api.Error) {
	routed := routing.Request{
		ID: id, Tenant: item.Tenant, Service: item.Service, Place: item.Place,
		Class: api.ClassBatch, Repeatable: item.Repeatable,
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, _, finish, failure := r.run(ctx, routed, item.Path, item.Body, header)
	if failure != nil {
		r.metrics.items.WithLabelValues(string(failure.Outcome)).Inc()
		return jobs.ItemResult{}, failure
	}
	defer finish()
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err == nil && !json.Valid(body) {
		err = fmt.Errorf("answer of status %d is not JSON", response.StatusCode)
	}
	if err != nil {
		r.metrics.items.WithLabelValues(string(api.OutcomeUnknown)).Inc()
		return jobs.ItemResult{}, api.NewError("read answer", "", api.CodeUpstream, api.OutcomeUnknown, "%w", err)
	}
	r.metrics.items.WithLabelValues(string(api.OutcomeRan)).Inc()
	return jobs.ItemResult{Item: item.Item, CustomID: item.CustomID, Outcome: api.OutcomeRan, Status: response.StatusCode, Body: body, Request: id}, nil
}

// settle reports to the leader until it takes the report or the grant ends.
func (r *Router) settle(ctx context.Context, group api.GroupID, address string, settle jobs.Settle) {
	for ctx.Err() == nil {
		err := transport.Call(ctx, r.node.Control, "settle items", address, storeclient.SettlePath(group), settle, nil)
		if err == nil {
			return
		}
		r.log.WithError(err).Debug("A store did not take results; trying again.")
		select {
		case <-time.After(settleRetryInterval):
		case <-ctx.Done():
		}
		if leader, ok := storeclient.Leader(r.node.Nodes(), group); ok {
			address = leader.Address
		}
	}
}
