// Package storeclient is the client of the stores' groups: it finds leaders, and defines the
// groups' paths and pages.
package storeclient

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

// CommandsPath accepts a jobs.Command and returns a jobs.Result.
func CommandsPath(group api.GroupID) string { return groupPath(group, "commands") }

// ClaimsPath accepts a jobs.ClaimItems and returns a jobs.Grant.
func ClaimsPath(group api.GroupID) string { return groupPath(group, "claims") }

// RenewalsPath accepts a jobs.Renew and returns a jobs.Notice.
func RenewalsPath(group api.GroupID) string { return groupPath(group, "renewals") }

// SettlePath accepts a jobs.Settle and returns a jobs.Notice.
func SettlePath(group api.GroupID) string { return groupPath(group, "settle") }

// SharesPath accepts a quota.Report and returns a quota.Grant.
func SharesPath(group api.GroupID) string { return groupPath(group, "shares") }

// JobPath returns a jobs.Job.
func JobPath(group api.GroupID, job string) string { return groupPath(group, "jobs/"+job) }

// JobsPath returns a JobsPage of up to limit of a tenant's jobs, the newest first, starting
// after the named one unless it is empty.
func JobsPath(group api.GroupID, tenant api.TenantID, after string, limit int) string {
	query := url.Values{"tenant": {string(tenant)}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return groupPath(group, "jobs?"+query.Encode())
}

// FilesPath returns a FilesPage of a tenant's files, with the parameters of JobsPath.
func FilesPath(group api.GroupID, tenant api.TenantID, after string, limit int) string {
	query := url.Values{"tenant": {string(tenant)}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return groupPath(group, "files?"+query.Encode())
}

// ResultsPath returns a ResultsPage of a job's results, starting at an offset.
func ResultsPath(group api.GroupID, job string, from int) string {
	return groupPath(group, fmt.Sprintf("jobs/%s/results?from=%d", job, from))
}

// FilePath returns a jobs.File.
func FilePath(group api.GroupID, file string) string { return groupPath(group, "files/"+file) }

// LinesPath returns a LinesPage of a file, starting at an offset.
func LinesPath(group api.GroupID, file string, from int) string {
	return groupPath(group, fmt.Sprintf("files/%s/lines?from=%d", file, from))
}

// Caller is the caller of an inline job, as a configuration identified it.
type Caller struct {
	// Tenant is the one that the job must belong to; jobs without a tenant are visible to all.
	Tenant api.TenantID
	// Version is that of the configuration; 0: unknown.
	Version int64
}

// Query parameters of a Caller.
const (
	parameterTenant  = "tenant"
	parameterVersion = "version"
)

// CallerOf returns the caller from the query of InlineResultsPath or InlineItemPath.
func CallerOf(query url.Values) Caller {
	version, _ := strconv.ParseInt(query.Get(parameterVersion), 10, 64)
	return Caller{Tenant: api.TenantID(query.Get(parameterTenant)), Version: version}
}

func (c Caller) addTo(query url.Values) string {
	query.Set(parameterTenant, string(c.Tenant))
	query.Set(parameterVersion, strconv.FormatInt(c.Version, 10))
	return query.Encode()
}

// InlineResultsPath returns a jobs.InlinePage, starting at an offset.
func InlineResultsPath(group api.GroupID, caller Caller, job string, from int) string {
	query := caller.addTo(url.Values{"from": {strconv.Itoa(from)}})
	return groupPath(group, fmt.Sprintf("inline/%s/results?%s", url.PathEscape(job), query))
}

// InlineItemPath returns a jobs.InlineItem by its ID.
func InlineItemPath(group api.GroupID, caller Caller, job, item string) string {
	query := caller.addTo(url.Values{"id": {item}})
	return groupPath(group, fmt.Sprintf("inline/%s/item?%s", url.PathEscape(job), query))
}

func groupPath(group api.GroupID, rest string) string {
	return fmt.Sprintf("%s%d/%s", api.PathGroups, group, rest)
}

// Leader returns the node that claims leadership of the group with the highest term; false if
// there is none.
func Leader(nodes []api.Node, group api.GroupID) (api.Node, bool) {
	found, _, ok := leader(nodes, group)
	return found, ok
}

// leader is like Leader and also returns the term.
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

// LinesPage is a page of a file's lines.
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
