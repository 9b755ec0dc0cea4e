package store

import (
	"net/http"
	"strconv"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/jobs"
)

func serveFiles(w http.ResponseWriter, r *http.Request, group *group) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > pageSize {
		limit = pageSize
	}
	list, more, err := group.jobs.Files(api.TenantID(query.Get("tenant")), jobs.FileID(query.Get("after")), limit)
	writeRead(w, r, "list files", storeclient.FilesPage{Files: list, More: more}, err)
}
