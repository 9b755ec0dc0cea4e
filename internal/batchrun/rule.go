package batchrun

import (
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/route"
)

// rule is what a configuration, or the terms of a job, say about an item.
type rule struct {
	version    int64 // of the configuration
	route      route.Route
	found      bool // there is a route
	hasTenants bool // the item is sent with the job's tenant, which never comes from the job's caller
	// binding is false if the configuration may be older than the one that accepted the job. Such a
	// rule may place an item, but not end it.
	binding bool
}

// Reasons for which a rule ends an item.
const (
	endNoRoute  = "no route"
	endFailures = "failed often enough"
)

// endOf returns the reason for which the rule ends an item that waits, or "".
func (r rule) endOf(i *item) string {
	switch {
	case !r.found:
		return endNoRoute
	case i.failures >= r.route.MaxAttempts:
		return endFailures
	}
	return ""
}

// ruleFor returns the newest rule for an item that this process knows: by its configuration, or by the
// terms of the item's job while these are newer. It returns false if there is neither. The caller
// holds the mutex.
func (l *Leader) ruleFor(i *item) (rule, bool) {
	configuration := l.service.catalog.Configuration()
	if i.terms != nil && (configuration == nil || configuration.Version < i.terms.Version) {
		matched, found := i.terms.Match(i.path)
		return rule{version: i.terms.Version, route: matched, found: found, hasTenants: i.terms.HasTenants, binding: true}, true
	}
	if configuration == nil {
		return rule{}, false
	}
	matched, found := configuration.Match(i.host, i.path)
	return rule{
		version: configuration.Version, route: matched, found: found, hasTenants: configuration.HasTenants(),
		binding: i.terms != nil || l.service.confirmation.after(i.addedAt),
	}, true
}

// reloadTerms reads the terms of a job that was submitted again. The caller holds the mutex.
func (l *Leader) reloadTerms(job jobs.InlineJob) {
	terms, err := l.state.InlineTerms(job.ID)
	if err != nil {
		l.log.WithField("request", job.ID).WithError(err).Error("Reading a job's terms from the state failed; the former ones stay in force.")
		return
	}
	for _, i := range l.waiting {
		if i.job.ID == job.ID {
			i.terms = terms
		}
	}
	for i := range l.running {
		if i.job.ID == job.ID {
			i.terms = terms
		}
	}
}

// logTerms logs that a job was accepted under a newer configuration than this process has.
func (l *Leader) logTerms(job jobs.InlineJob, terms *jobs.Terms) {
	version := int64(0)
	if configuration := l.service.catalog.Configuration(); configuration != nil {
		version = configuration.Version
	}
	if terms == nil || terms.Version <= version {
		return
	}
	l.service.metrics.newerTerms.Inc()
	l.log.WithFields(logrus.Fields{"event": "job_ahead", "request": job.ID, "version": version, "accepted_version": terms.Version}).
		Info("A job was accepted under a newer configuration than this process has; its items run by the terms of that one.")
}
