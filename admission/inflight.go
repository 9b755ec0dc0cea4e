package admission

import "github.com/dykewing/dykewing/api"

// InFlight returns the number of unfinished requests that this router has sent to
// the worker, without suspended ones.
func (m *Machine) InFlight(worker api.WorkerID) int {
	state, ok := m.workers[worker]
	if !ok {
		return 0
	}
	return state.online + len(state.batch)
}
