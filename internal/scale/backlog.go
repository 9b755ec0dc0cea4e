package scale

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/sim"
)

const replicasOfGroup = 3

// groupsOf is how many groups the stores hold: each store leads about one.
func groupsOf(size Size) int { return max(size.Stores/replicasOfGroup, 1) }

// newBacklog gives a leader's dispatcher with its share of the waiting jobs.
func newBacklog(options Options, self api.Node) *jobs.Dispatcher {
	state, err := jobs.OpenState(jobs.NewMemoryStorage())
	if err != nil {
		panic(fmt.Sprintf("make a backlog: %v", err))
	}
	index := uint64(0)
	count := max(options.Jobs/max(options.Size.Stores, 1), 1)
	for i := range count {
		tenant := api.TenantID(fmt.Sprintf("tenant-%d", i%max(options.Size.Tenants, 1)))
		service := options.Size.Service(i % options.Size.Models)
		file, job := jobs.FileID(fmt.Sprintf("%s-file-%d", self.ID, i)), jobs.JobID(fmt.Sprintf("%s-job-%d", self.ID, i))
		for _, command := range jobCommands(file, job, tenant, service, options.ItemsOfJob) {
			index++
			results, err := state.Apply(jobs.Entry{Index: index, Command: command})
			if err != nil || results[0].Code != "" {
				panic(fmt.Sprintf("make a backlog: %v %v", err, results))
			}
		}
	}
	dispatcher, err := jobs.NewDispatcher(state, jobs.DispatcherSettings{Lifetime: time.Minute}, sim.Epoch)
	if err != nil {
		panic(fmt.Sprintf("make a backlog: %v", err))
	}
	return dispatcher
}

// jobCommands upload a file of items and submit a job over it.
func jobCommands(file jobs.FileID, job jobs.JobID, tenant api.TenantID, service api.ServiceName, items int) []jobs.Command {
	lines := make([]json.RawMessage, items)
	for i := range lines {
		lines[i] = json.RawMessage(fmt.Sprintf(
			`{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"%s","messages":[{"role":"user","content":"mark answer %d"}]}}`, i, service, i))
	}
	return []jobs.Command{
		{Time: sim.Epoch, CreateFile: &jobs.CreateFile{File: file, Tenant: tenant}},
		{Time: sim.Epoch, AppendFile: &jobs.AppendFile{File: file, Lines: lines}},
		{Time: sim.Epoch, SealFile: &jobs.SealFile{File: file, Lines: items}},
		{Time: sim.Epoch, Submit: &jobs.Submit{
			Job: job, Tenant: tenant, File: file, Endpoint: "/v1/chat/completions",
			Repeatable: true, Deadline: sim.Epoch.Add(24 * time.Hour),
		}},
	}
}
