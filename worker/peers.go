package worker

import "time"

const (
	// rateLife is over how long a process's own rate of requests is averaged.
	rateLife = 400 * time.Millisecond
	// mostUnseen bounds how many requests of others a choice allows for.
	mostUnseen = 256
)

// rate is how often requests are sent, averaged.
type rate struct {
	perSecond float64
	at        time.Time
}

// note counts one request.
func (r *rate) note(now time.Time) {
	r.decay(now)
	r.perSecond += 1 / rateLife.Seconds()
}

func (r *rate) decay(now time.Time) {
	passed := now.Sub(r.at)
	r.at = now
	if passed >= rateLife {
		r.perSecond = 0
		return
	}
	r.perSecond *= 1 - float64(passed)/float64(rateLife)
}

// SetPeers tells how many other processes send requests to the same workers, and how
// old what they hold is at most when it is told.
func (p *Pool) SetPeers(n int, age time.Duration) { p.peers, p.tellingAge = n, age }

func (p *Pool) noteChoice(now time.Time, service string) {
	known := p.rates[service]
	if known == nil {
		known = &rate{}
		p.rates[service] = known
	}
	known.note(now)
}

// unseen is how many requests the peers have likely sent since this process learned
// of their load, if they send as many as this one.
func (p *Pool) unseen(now time.Time, service string, candidates []*entry) int {
	if p.peers == 0 {
		return 0
	}
	age := time.Duration(0)
	for _, e := range candidates {
		age += p.tellingAge + min(now.Sub(e.reported), p.settings.LoadLife)
	}
	age /= time.Duration(len(candidates))
	return min(int(p.rates[service].perSecond*float64(p.peers)*age.Seconds()), mostUnseen)
}
