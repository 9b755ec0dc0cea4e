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
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	page, found, err := group.jobs.InlineResults(jobs.JobID(r.PathValue("id")), tenantOf(r), max(from, 0), inlinePageBytes)
	if err == nil && !found {
		err = notFound("batch", r.PathValue("id"))
	}
	writeRead(w, r, "read results", page, err)
}

func tenantOf(r *http.Request) api.TenantID {
	return api.TenantID(r.URL.Query().Get(storeclient.ParameterTenant))
}

func serveInlineItem(w http.ResponseWriter, r *http.Request, group *group) {
	item, found, err := group.jobs.InlineItemByID(jobs.JobID(r.PathValue("id")), tenantOf(r), r.URL.Query().Get("id"))
	if err == nil && !found {
		err = notFound("item", r.URL.Query().Get("id"))
	}
	writeRead(w, r, "read item", item, err)
}
