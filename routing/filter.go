package routing

import "slices"

// NotLeavingFilter excludes endpoints that are leaving.
type NotLeavingFilter struct{}

// Name is the stage's name in logs.
func (NotLeavingFilter) Name() string { return "not-leaving" }

// Keep reports whether the endpoint stays.
func (NotLeavingFilter) Keep(_ *Request, endpoint *Endpoint) bool { return !endpoint.Leaving }

// RowFilter keeps the endpoints of the request's service and place.
type RowFilter struct{}

// Name is the stage's name in logs.
func (RowFilter) Name() string { return "row" }

// Keep compares the service and, if one is chosen, the place.
func (RowFilter) Keep(request *Request, endpoint *Endpoint) bool {
	if endpoint.Key.Service != request.Service {
		return false
	}
	return request.Place == "" || endpoint.Key.Place == request.Place
}

// NotTriedFilter excludes endpoints used by an earlier attempt.
type NotTriedFilter struct{}

// Name is the stage's name in logs.
func (NotTriedFilter) Name() string { return "not-tried" }

// Keep reports whether the endpoint is not excluded by the request.
func (NotTriedFilter) Keep(request *Request, endpoint *Endpoint) bool {
	return !slices.Contains(request.Excluded, endpoint.Name)
}
