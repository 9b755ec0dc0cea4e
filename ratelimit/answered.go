package ratelimit

import "time"

const (
	// copyLife is how long after a question its copies may come: over the time that a
	// holder waits for an owner by all ways. One that comes later takes tokens that nobody
	// uses, so that the tenant is short of them.
	copyLife = 250 * time.Millisecond
	// mostAnswered are remembered: 250 ms of 16,000 questions a second, 500 KB.
	mostAnswered = 4096
)

// question names an ask over all ways by which it may come.
type question struct {
	holder, tenant string
	sequence       uint64
}

// answered is what an owner gave lately, oldest first.
type answered struct {
	grants map[question]Grant
	order  []given
}

type given struct {
	question question
	at       time.Time
}

func (a *answered) find(now time.Time, name question) (Grant, bool) {
	a.forget(now)
	grant, known := a.grants[name]
	return grant, known
}

func (a *answered) keep(now time.Time, name question, grant Grant) {
	a.grants[name] = grant
	a.order = append(a.order, given{name, now})
}

// forget drops what is old, and the oldest so that there is room for one more.
func (a *answered) forget(now time.Time) {
	n := 0
	for n < len(a.order) && (now.Sub(a.order[n].at) > copyLife || len(a.order)-n >= mostAnswered) {
		delete(a.grants, a.order[n].question)
		n++
	}
	a.order = a.order[n:]
}
