package routing

import "slices"

// NotLeavingFilter leaves out endpoints that are leaving.
type NotLeavingFilter struct{}

// Name is the stage's name in logs.
func (NotLeavingFilter) Name() string { return "not-leaving" }

// Keep is true for endpoints that stay.
func (NotLeavingFilter) Keep(_ *Request, endpoint *Endpoint) bool { return !endpoint.Leaving }

// RowFilter keeps the endpoints of the request's service and place.
type RowFilter struct{}

// Name is the stage's name in logs.
func (RowFilter) Name() string { return "row" }

// Keep compares service and, where one is chosen, place.
func (RowFilter) Keep(request *Request, endpoint *Endpoint) bool {
	if endpoint.Key.Service != request.Service {
		return false
	}
	return request.Place == "" || endpoint.Key.Place == request.Place
}

// NotTriedFilter leaves out endpoints that an earlier attempt used.
type NotTriedFilter struct{}

// Name is the stage's name in logs.
func (NotTriedFilter) Name() string { return "not-tried" }

// Keep is true for endpoints that are not excluded.
func (NotTriedFilter) Keep(request *Request, endpoint *Endpoint) bool {
	return !slices.Contains(request.Excluded, endpoint.Name)
}
