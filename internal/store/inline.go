package store

import (
	"net/http"
	"strconv"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/jobs"
)

// inlinePageBytes bounds the text of one page of results.
const inlinePageBytes = 768 << 10

// InlineRunner runs the items of inline jobs while a replica leads its group.
type InlineRunner interface {
	// Applied is called after each applied command, in log order; it must not block.
	Applied(command jobs.Command, result jobs.Result)
	// Stop cancels all running items without waiting for them.
	Stop()
}

// StartInlineRunner starts a runner of the state's open jobs, which proposes their results.
// The state must have applied all that earlier leaders committed.
type StartInlineRunner func(group api.GroupID, state *jobs.State, propose dispatch.ProposeFunc) (InlineRunner, error)

func serveInlineResults(w http.ResponseWriter, r *http.Request, group *group) {
	id, caller := jobs.JobID(r.PathValue("id")), storeclient.CallerOf(r.URL.Query())
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	page, found, err := group.jobs.InlineResults(id, caller.Tenant, max(from, 0), inlinePageBytes)
	if err == nil && !found {
		err = group.inlineNotFound(id, caller, notFound("batch", string(id)))
	}
	writeRead(w, r, "read results", page, err)
}

func serveInlineItem(w http.ResponseWriter, r *http.Request, group *group) {
	id, caller, itemID := jobs.JobID(r.PathValue("id")), storeclient.CallerOf(r.URL.Query()), r.URL.Query().Get("id")
	item, found, err := group.jobs.InlineItemByID(id, caller.Tenant, itemID)
	if err == nil && !found {
		err = group.inlineNotFound(id, caller, notFound("item", itemID))
	}
	writeRead(w, r, "read item", item, err)
}

// inlineNotFound returns the error for a job that its caller can't see: absent, or an unknown outcome if
// the job was accepted under a newer configuration than the one that identified the caller.
func (g *group) inlineNotFound(id jobs.JobID, caller storeclient.Caller, absent *api.Error) error {
	terms, err := g.jobs.InlineTerms(id)
	if err != nil {
		return err
	}
	if terms.NewerThan(caller.Version) {
		return api.NewError(absent.Step, "", api.CodeNoTable, api.OutcomeNotRun, "batch %s was accepted under configuration %d, and its caller identified by %d", id, terms.Version, caller.Version)
	}
	return absent
}
