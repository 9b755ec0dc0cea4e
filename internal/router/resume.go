package router

import (
	"net/http"
	"strconv"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/transport"
)

// serveResume sends a sidecar the rest of a stream whose router or connection was lost.
// Any router can serve it, since the engine still has the request and nothing is started.
func (r *Router) serveResume(w http.ResponseWriter, request *http.Request) {
	const step = "resume request"
	id := api.RequestID(request.PathValue("request"))
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	if err != nil || from < 0 {
		r.refuse(w, api.NewError(step, "", api.CodeBadRequest, api.OutcomeUnknown, "from %q is not an event number", request.URL.Query().Get("from")))
		return
	}
	worker, ok := r.workerByID(api.WorkerID(request.Header.Get(api.HeaderWorker)))
	if !ok {
		r.refuse(w, api.NewError(step, "", api.CodeNotFound, api.OutcomeUnknown, "worker %q is not in the machine list", request.Header.Get(api.HeaderWorker)))
		return
	}
	ctx, cancel := r.withDeadline(request.Context(), request.Header.Get(api.HeaderDeadline))
	defer cancel()
	response, err := r.backend.Resume(ctx, engine.Call{Worker: worker.ID, Address: worker.Address}, id, from)
	if err != nil {
		r.refuse(w, api.AsError(step, err))
		return
	}
	r.metrics.resumed.Inc()
	r.relay(w, response, id, worker.ID)
}

func (r *Router) workerByID(id api.WorkerID) (api.Worker, bool) {
	for _, worker := range r.homeWorkers.machineList() {
		if worker.ID == id {
			return worker, true
		}
	}
	return api.Worker{}, false
}

func newBodyBudget(each int64) *transport.BodyBudget {
	return &transport.BodyBudget{MaxTotal: maxHeldBytes, MaxBody: each, Timeout: bodyTimeout}
}
