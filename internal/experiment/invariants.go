package experiment

import (
	"fmt"
	"slices"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// maximumViolations bounds what is kept of a run that goes wrong.
const maximumViolations = 100

func (f *fleet) violate(format string, arguments ...any) {
	if len(f.violations) < maximumViolations {
		f.violations = append(f.violations, fmt.Sprintf("%v ", f.simulation.Elapsed())+fmt.Sprintf(format, arguments...))
	}
}

// checkAnswered: a request is dispatched or refused in the step that it comes
// in; online is refused only where no worker is
// listed, and only online has a priority above the lowest.
func (f *fleet) checkAnswered(router *router, request routing.Request, answer admission.Action) {
	refusal, refused := answer.(admission.Refuse)
	dispatch, sent := answer.(admission.Dispatch)
	switch {
	case sent && f.strategy == StrategyOurs && (dispatch.Priority > 0) != (request.Class == api.ClassOnline):
		f.violate("%s request %s has priority %d at the engine", request.Class, request.ID, dispatch.Priority)
	case answer == nil:
		f.violate("request %s was left waiting at its home", request.ID)
	case refused && request.Class == api.ClassOnline && router.offers(request):
		f.violate("online request %s was refused: %v", request.ID, refusal.Failure)
	}
}

// offers tells whether the router has a worker for the request.
func (r *router) offers(request routing.Request) bool {
	return slices.ContainsFunc(r.machine.Summaries(), func(summary api.ServiceSummary) bool {
		return summary.Service == request.Service && summary.Place == request.Place && summary.Workers > 0
	})
}

// checkAllowance: batch in flight over all homes is within the row's allowance.
// Routers learn a changed list or table at the same instant here; what was let
// in before may then pass a lower allowance, which is left out.
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
		f.violate("row %s runs %d batch requests of %d", key, total, allowance)
	}
}

// checkPriorities: no engine has let a request wait in a step in which a lower
// priority ran.
func (f *fleet) checkPriorities() {
	for id, process := range f.engines {
		if steps := process.engine.Statistics().WaitedBehind; steps > 0 {
			f.violate("engine %s let a request wait behind a lower priority in %d steps", id, steps)
		}
	}
	slices.Sort(f.violations)
}

// checkDrained: once nothing is in flight, no router accounts for anything.
func (f *fleet) checkDrained() {
	for _, router := range f.routers {
		for _, summary := range router.machine.Summaries() {
			if summary.Online+summary.Batch != 0 || len(router.flights) != 0 {
				f.violate("router %s accounts for %d online and %d batch with %d flights after all ended",
					router.node.ID, summary.Online, summary.Batch, len(router.flights))
			}
		}
	}
	for id, process := range f.engines {
		if left := process.engine.InFlight(); left != 0 && !process.dead {
			f.violate("engine %s has %d in flight after all ended", id, left)
		}
	}
}
