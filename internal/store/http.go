package store

import (
	"context"
	"net/http"
	"strconv"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

const (
	maxCommandBytes = 32 << 20
	pageSize        = 500
)

type groupHandler func(w http.ResponseWriter, r *http.Request, group *group)

func (s *Store) routes() {
	s.route("POST "+pathMessages, s.serveMessages)
	s.route("GET "+pathIdentity, s.serveIdentity)
	s.handle("GET", "origin", serveOrigin)
	s.handle("GET", "status", serveStatus)
	s.handle("GET", "snapshot", serveSnapshot)
	s.handle("POST", "commands", s.serveCommand)
	s.handle("POST", "claims", atLeader("claim items", (*dispatch.Leadership).Claim))
	s.handle("POST", "settle", atLeader("settle items", (*dispatch.Leadership).Settle))
	s.handle("POST", "renewals", atLeader("renew grants", renew))
	s.handle("POST", "shares", serveShares)
	s.handle("GET", "jobs", linearizable(serveJobs))
	s.handle("GET", "jobs/{id}", linearizable(serveJob))
	s.handle("GET", "jobs/{id}/results", linearizable(serveResults))
	s.handle("GET", "inline/{id}/results", linearizable(serveInlineResults))
	s.handle("GET", "inline/{id}/item", linearizable(serveInlineItem))
	s.handle("GET", "files", linearizable(serveFiles))
	s.handle("GET", "files/{id}", linearizable(serveFile))
	s.handle("GET", "files/{id}/lines", linearizable(serveLines))
}

// route registers a handler, wrapped by the test hook if set.
func (s *Store) route(pattern string, handler http.HandlerFunc) {
	if wrap := s.shared.database.hooks.wrap; wrap != nil {
		handler = wrap(handler)
	}
	s.node.Mux.HandleFunc(pattern, handler)
}

func (s *Store) handle(method, rest string, handler groupHandler) {
	s.route(method+" "+api.PathGroups+"{group}/"+rest, func(w http.ResponseWriter, r *http.Request) {
		id, err := strconv.ParseUint(r.PathValue("group"), 10, 32)
		group, ok := s.group(api.GroupID(id))
		if err != nil {
			transport.WriteError(w, notFound("group", r.PathValue("group")))
			return
		}
		if !ok {
			// Without a replica nothing is known about the group's contents, so this
			// must not be reported as not found.
			transport.WriteError(w, api.NewError("find group", "", api.CodeNotLeader, api.OutcomeNotRun, "no replica of group %d here", id))
			return
		}
		handler(w, r, group)
	})
}

func notFound(what, id string) *api.Error {
	return api.NewError("find "+what, "", api.CodeNotFound, api.OutcomeNotRun, "no %s %s", what, id)
}

// linearizable runs handler after a quorum has confirmed this replica's leadership.
func linearizable(handler groupHandler) groupHandler {
	return func(w http.ResponseWriter, r *http.Request, group *group) {
		if failure := group.confirmLeadership(r.Context()); failure != nil {
			transport.WriteError(w, failure)
			return
		}
		handler(w, r, group)
	}
}

func (s *Store) serveCommand(w http.ResponseWriter, r *http.Request, group *group) {
	var command jobs.Command
	if failure := transport.ReadJSON(w, r, "read command", maxCommandBytes, &command); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if failure := s.admit(group, command); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	result, failure := group.propose(r.Context(), command)
	if failure != nil {
		transport.WriteError(w, failure)
		return
	}
	transport.WriteJSON(w, http.StatusOK, result)
}

// atLeader serves a typed call of the group's leader.
func atLeader[Request, Answer any](step string, call func(*dispatch.Leadership, context.Context, Request) (Answer, *api.Error)) groupHandler {
	return func(w http.ResponseWriter, r *http.Request, group *group) {
		var request Request
		if failure := transport.ReadJSON(w, r, step, maxCommandBytes, &request); failure != nil {
			transport.WriteError(w, failure)
			return
		}
		leading, failure := group.leadership(step)
		if failure != nil {
			transport.WriteError(w, failure)
			return
		}
		answer, failure := call(leading, r.Context(), request)
		if failure != nil {
			transport.WriteError(w, failure)
			return
		}
		transport.WriteJSON(w, http.StatusOK, answer)
	}
}

func renew(leading *dispatch.Leadership, _ context.Context, request jobs.Renew) (jobs.Notice, *api.Error) {
	return leading.Renew(request), nil
}

// The handlers below read the applied state, concurrently with its updates.

func serveJobs(w http.ResponseWriter, r *http.Request, group *group) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > pageSize {
		limit = pageSize
	}
	list, more, err := group.jobs.Jobs(api.TenantID(query.Get("tenant")), jobs.JobID(query.Get("after")), limit)
	writeRead(w, r, "list jobs", storeclient.JobsPage{Jobs: list, More: more}, err)
}

func serveJob(w http.ResponseWriter, r *http.Request, group *group) {
	job, found, err := group.jobs.Job(jobs.JobID(r.PathValue("id")))
	if err == nil && !found {
		err = notFound("batch", r.PathValue("id"))
	}
	writeRead(w, r, "read job", job, err)
}

func serveResults(w http.ResponseWriter, r *http.Request, group *group) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	results, next, err := group.jobs.Results(jobs.JobID(r.PathValue("id")), max(from, 0), pageSize)
	writeRead(w, r, "read results", storeclient.ResultsPage{Results: results, Next: next}, err)
}

func serveFile(w http.ResponseWriter, r *http.Request, group *group) {
	file, found, err := group.jobs.File(jobs.FileID(r.PathValue("id")))
	if err == nil && !found {
		err = notFound("file", r.PathValue("id"))
	}
	writeRead(w, r, "read file", file, err)
}

func serveLines(w http.ResponseWriter, r *http.Request, group *group) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	lines, next, err := group.jobs.Lines(jobs.FileID(r.PathValue("id")), max(from, 0), pageSize)
	writeRead(w, r, "read lines", storeclient.LinesPage{Lines: lines, Next: next}, err)
}

func writeRead(w http.ResponseWriter, r *http.Request, step string, value any, err error) {
	if err != nil {
		transport.WriteError(w, api.AsError(step, err))
		return
	}
	transport.WriteCompressedJSON(w, r, http.StatusOK, value)
}
