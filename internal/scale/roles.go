package scale

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// RoleResult is what control cost the nodes of one role, a second.
type RoleResult struct {
	Role          api.Role               `json:"role"`
	Nodes         int                    `json:"nodes"`
	Processor     time.Duration          `json:"processor"`      // mean of the nodes
	ProcessorMost time.Duration          `json:"processor_most"` // of the busiest node
	ByPart        map[Part]time.Duration `json:"by_part"`        // mean of the nodes
	Sent          float64                `json:"sent_bytes"`     // mean of the nodes
	SentMost      float64                `json:"sent_bytes_most"`
	SentFor       map[string]float64     `json:"sent_for"`       // Sent by what it was for
	Received      float64                `json:"received_bytes"` // mean of the nodes
	Messages      float64                `json:"messages"`       // exchanges begun, mean of the nodes
}

// roleResults compares the nodes' costs with those before the steady part.
func (f *fleet) roleResults(before []*Cost) []RoleResult {
	seconds := f.options.Duration.Seconds()
	var results []RoleResult
	for _, role := range []api.Role{api.RoleRouter, api.RoleStore, api.RoleSidecar} {
		result := RoleResult{Role: role, ByPart: map[Part]time.Duration{}, SentFor: map[string]float64{}}
		for i, node := range f.nodes {
			if node.self.Role == role {
				result.add(node.cost.since(before[i]), seconds)
			}
		}
		results = append(results, result.mean())
	}
	return results
}

func (r *RoleResult) add(spent *Cost, seconds float64) {
	perSecond := func(d time.Duration) time.Duration { return time.Duration(float64(d) / seconds) }
	r.Nodes++
	r.Processor += perSecond(spent.Total())
	r.ProcessorMost = max(r.ProcessorMost, perSecond(spent.Total()))
	for part, processor := range spent.Processor {
		r.ByPart[part] += perSecond(processor)
	}
	for purpose, bytes := range spent.SentFor {
		r.SentFor[purpose] += float64(bytes) / seconds
	}
	r.Sent += float64(spent.BytesSent) / seconds
	r.SentMost = max(r.SentMost, float64(spent.BytesSent)/seconds)
	r.Received += float64(spent.BytesReceived) / seconds
	r.Messages += float64(spent.Messages) / seconds
}

func (r *RoleResult) mean() RoleResult {
	nodes := float64(max(r.Nodes, 1))
	mean := *r
	mean.Processor = time.Duration(float64(r.Processor) / nodes)
	mean.ByPart = map[Part]time.Duration{}
	for part, processor := range r.ByPart {
		mean.ByPart[part] = time.Duration(float64(processor) / nodes)
	}
	mean.SentFor = map[string]float64{}
	for purpose, bytes := range r.SentFor {
		mean.SentFor[purpose] = bytes / nodes
	}
	mean.Sent, mean.Received, mean.Messages = r.Sent/nodes, r.Received/nodes, r.Messages/nodes
	return mean
}
