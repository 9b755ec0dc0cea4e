// Package storeclient reaches the stores' groups: where each leads, its paths and
// its pages.
package storeclient

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

// CommandsPath takes a jobs.Command and answers a jobs.Result.
func CommandsPath(group api.GroupID) string { return groupPath(group, "commands") }

// ClaimsPath takes a jobs.ClaimItems and answers a jobs.Grant.
func ClaimsPath(group api.GroupID) string { return groupPath(group, "claims") }

// RenewPath takes a jobs.Renew and answers a jobs.Notice.
func RenewPath(group api.GroupID) string { return groupPath(group, "renewals") }

// SettlePath takes a jobs.Settle and answers a jobs.Notice.
func SettlePath(group api.GroupID) string { return groupPath(group, "settle") }

// SharesPath takes a quota.Report and answers a quota.Grant.
func SharesPath(group api.GroupID) string { return groupPath(group, "shares") }

// JobPath reads a jobs.Job.
func JobPath(group api.GroupID, job string) string { return groupPath(group, "jobs/"+job) }

// JobsPath lists up to limit of a tenant's jobs, the newest first, beginning
// after the named one when it is not empty.
func JobsPath(group api.GroupID, tenant api.TenantID, after string, limit int) string {
	query := url.Values{"tenant": {string(tenant)}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return groupPath(group, "jobs?"+query.Encode())
}

// FilesPath lists a tenant's files as JobsPath does its jobs.
func FilesPath(group api.GroupID, tenant api.TenantID, after string, limit int) string {
	query := url.Values{"tenant": {string(tenant)}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return groupPath(group, "files?"+query.Encode())
}

// ResultsPath reads a page of a job's results.
func ResultsPath(group api.GroupID, job string, from int) string {
	return groupPath(group, fmt.Sprintf("jobs/%s/results?from=%d", job, from))
}

// FilePath reads a jobs.File.
func FilePath(group api.GroupID, file string) string { return groupPath(group, "files/"+file) }

// LinesPath reads a page of a file's lines.
func LinesPath(group api.GroupID, file string, from int) string {
	return groupPath(group, fmt.Sprintf("files/%s/lines?from=%d", file, from))
}

// ParameterTenant names whose an inline job must be to be found; a job of nobody is
// everybody's.
const ParameterTenant = "tenant"

// InlineResultsPath reads a jobs.InlinePage from a position on.
func InlineResultsPath(group api.GroupID, tenant api.TenantID, job string, from int) string {
	query := url.Values{"from": {strconv.Itoa(from)}, ParameterTenant: {string(tenant)}}
	return groupPath(group, fmt.Sprintf("inline/%s/results?%s", url.PathEscape(job), query.Encode()))
}

// InlineItemPath reads a jobs.InlineItem by its id.
func InlineItemPath(group api.GroupID, tenant api.TenantID, job, item string) string {
	query := url.Values{"id": {item}, ParameterTenant: {string(tenant)}}
	return groupPath(group, fmt.Sprintf("inline/%s/item?%s", url.PathEscape(job), query.Encode()))
}

func groupPath(group api.GroupID, rest string) string {
	return fmt.Sprintf("%s%d/%s", api.PathGroups, group, rest)
}

// Leader finds the store that says it leads the group, by the highest term.
func Leader(nodes []api.Node, group api.GroupID) (api.Node, bool) {
	found, _, ok := leader(nodes, group)
	return found, ok
}

// leader is Leader with the term.
func leader(nodes []api.Node, group api.GroupID) (found api.Node, term uint64, ok bool) {
	for _, node := range nodes {
		for _, summary := range node.Summary.Groups {
			if summary.Group == group && summary.Leading && (!ok || summary.Term > term) {
				found, term, ok = node, summary.Term, true
			}
		}
	}
	return found, term, ok
}

// LinesPage is a page of a file.
type LinesPage struct {
	Lines []json.RawMessage `json:"lines"`
	Next  int               `json:"next"` // -1 at the end
}

// ResultsPage is a page of a job's results.
type ResultsPage struct {
	Results []jobs.ItemResult `json:"results"`
	Next    int               `json:"next"` // -1 at the end
}

// JobsPage is a page of a tenant's jobs.
type JobsPage struct {
	Jobs []jobs.Job `json:"jobs"`
	More bool       `json:"more"`
}

// FilesPage is a page of a tenant's files.
type FilesPage struct {
	Files []jobs.File `json:"files"`
	More  bool        `json:"more"`
}
