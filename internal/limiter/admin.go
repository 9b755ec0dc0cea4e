package limiter

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
)

// PathByOrder takes operators' decisions by POST with a ByOrderDecision, at any store, and answers
// with a ByOrderResult. A decision is kept until the next one.
const PathByOrder = "/v1/limits/by-order"

const maxDecisionBytes = 1 << 10

// ByOrderDecision is an operator's decision how limits are granted.
type ByOrderDecision struct {
	// ByOrder ends leases, so that a build that knows none may run. Otherwise they start once
	// all stores know them.
	ByOrder bool `json:"by_order"`
	// Group restricts the decision to one group that the receiver leads; nil: all groups, of
	// which those led by others are sent on.
	Group *api.GroupID `json:"group,omitempty"`
}

// ByOrderResult is the state of all groups after a decision.
type ByOrderResult struct {
	// Leased are the groups whose limits are still granted under leases.
	Leased []api.GroupID `json:"leased"`
}

// ServeByOrder handles operators' decisions. It fails if a group has no known leader; the
// decision may then hold in other groups.
func (o *Owner) ServeByOrder(w http.ResponseWriter, r *http.Request) {
	const step = "decide how limits are granted"
	var decision ByOrderDecision
	if failure := transport.ReadJSON(w, r, step, maxDecisionBytes, &decision); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	groups := make([]api.GroupID, 0, o.settings.Groups)
	if decision.Group != nil {
		groups = append(groups, *decision.Group)
	} else {
		for group := range api.GroupID(o.settings.Groups) {
			groups = append(groups, group)
		}
	}
	result := ByOrderResult{Leased: []api.GroupID{}}
	for _, group := range groups {
		leased, failure := o.decide(r.Context(), group, decision)
		if failure != nil {
			transport.WriteError(w, failure)
			return
		}
		if leased {
			result.Leased = append(result.Leased, group)
		}
	}
	transport.WriteJSON(w, http.StatusOK, result)
}

// decide carries a decision out in one group, or sends it to the group's leader. It reports
// whether leases are still in use.
func (o *Owner) decide(ctx context.Context, group api.GroupID, decision ByOrderDecision) (leased bool, failure *api.Error) {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	lease, failure := o.settings.Lease(ctx, group)
	if failure == nil {
		return o.setByOrder(ctx, group, lease, decision.ByOrder)
	}
	leader, known := o.settings.Leader(group)
	if decision.Group != nil || !known || leader.ID == o.settings.Self {
		return false, failure
	}
	decision.Group = &group
	var result ByOrderResult
	if err := transport.Call(ctx, o.settings.Client, "forward decision about limits", leader.Address, PathByOrder, decision, &result); err != nil {
		return false, api.AsError("forward decision about limits", err)
	}
	return len(result.Leased) > 0, nil
}

// setByOrder commits a decision to the log of a group that this store leads.
func (o *Owner) setByOrder(ctx context.Context, group api.GroupID, lease Lease, byOrder bool) (leased bool, failure *api.Error) {
	if failure := o.settings.Register(ctx, group, byOrderMarker, !byOrder); failure != nil {
		return false, failure
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state, failure := o.termState(group, lease)
	if failure != nil {
		return false, failure
	}
	if state.activation.ByOrder() != byOrder {
		o.settings.Log.WithFields(logrus.Fields{"event": "limit_by_order", "group": group, "by_order": byOrder}).
			Info("An operator decided how the group's limits are granted.")
	}
	state.activation.SetByOrder(clock.Now(), byOrder)
	if byOrder {
		state.owner.StopLeasing()
	} else {
		state.owner.ResumeLeasing()
	}
	return state.activation.Active(), nil
}
