package experiment

import (
	"fmt"
	"slices"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// maxViolations limits the violations recorded per run.
const maxViolations = 100

func (f *fleet) recordViolation(format string, arguments ...any) {
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, fmt.Sprintf("%v ", f.simulation.Elapsed())+fmt.Sprintf(format, arguments...))
	}
}

// checkAnswered checks that a request is dispatched or refused in the step in
// which it arrives, that online requests are refused only if no worker is
// listed, and that only online requests have a priority above the lowest.
func (f *fleet) checkAnswered(router *router, request routing.Request, answer admission.Action) {
	refusal, refused := answer.(admission.Refuse)
	dispatch, sent := answer.(admission.Dispatch)
	switch {
	case sent && f.strategy == StrategyDykewing && (dispatch.Priority > 0) != (request.Class == api.ClassOnline):
		f.recordViolation("%s request %s has priority %d at the engine", request.Class, request.ID, dispatch.Priority)
	case answer == nil:
		f.recordViolation("request %s was left waiting at its home", request.ID)
	case refused && request.Class == api.ClassOnline && router.offers(request):
		f.recordViolation("online request %s was refused: %v", request.ID, refusal.Failure)
	}
}

// offers reports whether the router has a worker for the request.
func (r *router) offers(request routing.Request) bool {
	return slices.ContainsFunc(r.machine.Summaries(), func(summary api.ServiceSummary) bool {
		return summary.Service == request.Service && summary.Place == request.Place && summary.Workers > 0
	})
}

// checkAllowance checks that the batch requests in flight over all homes do not
// exceed the row's allowance. It checks nothing once the list or the table has
// changed, since requests admitted earlier may exceed a lowered allowance.
func (f *fleet) checkAllowance(key api.RowKey) {
	if f.changed {
		return
	}
	total := 0
	for _, router := range f.routers {
		for _, summary := range router.machine.Summaries() {
			if summary.Key() == key {
				total += summary.Batch
			}
		}
	}
	if allowance := f.rows[key].BatchAllowance; total > allowance {
		f.recordViolation("row %s runs %d batch requests of %d", key, total, allowance)
	}
}

// checkPriorities checks that no engine ran a step with a lower-priority request
// while a higher-priority one waited.
func (f *fleet) checkPriorities() {
	for id, process := range f.engines {
		if steps := process.engine.Statistics().WaitedBehind; steps > 0 {
			f.recordViolation("engine %s let a request wait behind a lower priority in %d steps", id, steps)
		}
	}
	slices.Sort(f.violations)
}

// checkDrained checks that routers and engines account for no request once all
// have ended.
func (f *fleet) checkDrained() {
	for _, router := range f.routers {
		for _, summary := range router.machine.Summaries() {
			if summary.Online+summary.Batch != 0 || len(router.inFlight) != 0 {
				f.recordViolation("router %s accounts for %d online and %d batch with %d requests in flight after all ended",
					router.node.ID, summary.Online, summary.Batch, len(router.inFlight))
			}
		}
	}
	for id, process := range f.engines {
		if left := process.engine.InFlight(); left != 0 && !process.dead {
			f.recordViolation("engine %s has %d in flight after all ended", id, left)
		}
	}
}
