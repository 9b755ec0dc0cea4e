package admission

import "github.com/dykewing/dykewing/api"

// InFlight counts the requests that this router has sent to the worker and
// that have not finished.
func (m *Machine) InFlight(worker api.WorkerID) int {
	state, ok := m.workers[worker]
	if !ok {
		return 0
	}
	return state.online + len(state.batch)
}
