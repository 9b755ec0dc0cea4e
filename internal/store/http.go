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
	maximumCommandBytes = 32 << 20
	pageSize            = 500
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
	s.handle("GET", "jobs", linearisable(serveJobs))
	s.handle("GET", "jobs/{id}", linearisable(serveJob))
	s.handle("GET", "jobs/{id}/results", linearisable(serveResults))
	s.handle("GET", "inline/{id}/results", linearisable(serveInlineResults))
	s.handle("GET", "inline/{id}/item", linearisable(serveInlineItem))
	s.handle("GET", "files", linearisable(serveFiles))
	s.handle("GET", "files/{id}", linearisable(serveFile))
	s.handle("GET", "files/{id}/lines", linearisable(serveLines))
}

// route adds a path, behind the hook of tests.
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
			// Only a leader knows what a group holds: without a replica this is no
			// answer about anything in it.
			transport.WriteError(w, api.NewError("find group", "", api.CodeNotLeader, api.OutcomeNotRun, "no replica of group %d here", id))
			return
		}
		handler(w, r, group)
	})
}

func notFound(what, id string) *api.Error {
	return api.NewError("find "+what, "", api.CodeNotFound, api.OutcomeNotRun, "no %s %s", what, id)
}

// linearisable lets a read go on once this replica has proved that it leads.
func linearisable(handler groupHandler) groupHandler {
	return func(w http.ResponseWriter, r *http.Request, group *group) {
		if failure := group.confirm(r.Context()); failure != nil {
			transport.WriteError(w, failure)
			return
		}
		handler(w, r, group)
	}
}

func (s *Store) serveCommand(w http.ResponseWriter, r *http.Request, group *group) {
	var command jobs.Command
	if failure := transport.ReadJSON(w, r, "read command", maximumCommandBytes, &command); failure != nil {
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

// atLeader serves a typed call that only the group's leader answers.
func atLeader[Request, Answer any](step string, call func(*dispatch.Leadership, context.Context, Request) (Answer, *api.Error)) groupHandler {
	return func(w http.ResponseWriter, r *http.Request, group *group) {
		var request Request
		if failure := transport.ReadJSON(w, r, step, maximumCommandBytes, &request); failure != nil {
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

// Reads answer from the applied state and run beside it.

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
	transport.WriteCompactJSON(w, r, http.StatusOK, value)
}
