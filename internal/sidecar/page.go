package sidecar

import (
	"net/http"
	"strconv"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

// page is a list in the OpenAI API's shape.
type page[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// pageLimit parses the limit parameter of a list request.
func pageLimit(r *http.Request) (int, *api.Error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultPage, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxPage {
		return 0, api.NewError("read limit", "", api.CodeBadRequest, api.OutcomeNotRun, "limit %q is not within 1 to %d", text, maxPage)
	}
	return limit, nil
}

// newPage converts a store's objects to a page of the API.
func newPage[Stored, Shown any](stored []Stored, show func(Stored) Shown, id func(Shown) string, more bool) page[Shown] {
	answer := page[Shown]{Object: "list", Data: []Shown{}, HasMore: more}
	for _, object := range stored {
		answer.Data = append(answer.Data, show(object))
	}
	if last := len(answer.Data) - 1; last >= 0 {
		answer.FirstID, answer.LastID = id(answer.Data[0]), id(answer.Data[last])
	}
	return answer
}

// listPath is the path of a page of a tenant's objects in a group.
type listPath func(group api.GroupID, tenant api.TenantID, after string, limit int) string

// readPage reads the page of the tenant's objects that the query selects.
func (s *Sidecar) readPage(r *http.Request, step string, path listPath, found any) *api.Error {
	limit, failure := pageLimit(r)
	if failure != nil {
		return failure
	}
	tenant := tenantOf(r)
	group := placement.TenantGroup(tenant, s.node.Settings.Store.Groups)
	after := r.URL.Query().Get("after")
	if err := s.stores.Read(r.Context(), group, path(group, tenant, after, limit), found); err != nil {
		return api.AsError(step, err)
	}
	return nil
}

// readOwned reads an object owned by the caller's tenant. Objects of other tenants are
// reported as not found.
func readOwned[Stored any](s *Sidecar, r *http.Request, step, id string, path func(api.GroupID, string) string, tenant func(Stored) api.TenantID) (Stored, api.GroupID, *api.Error) {
	var none, found Stored
	group, failure := groupOf(id)
	if failure != nil {
		return none, 0, failure
	}
	if err := s.stores.Read(r.Context(), group, path(group, id), &found); err != nil {
		return none, 0, api.AsError(step, err)
	}
	if tenant(found) != tenantOf(r) {
		return none, 0, newNotFoundError(id)
	}
	return found, group, nil
}
