// Package requestlog keeps the most recent requests of a VM and the decisions made for them.
package requestlog

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
)

const capacity = 4096 // entries

// Entry describes one request: its attempts, the policy applied and the outcome.
type Entry struct {
	Request      id.Request     `json:"request"`
	At           time.Time      `json:"at"`
	Customer     id.Customer    `json:"customer,omitempty"`
	Service      id.Service     `json:"service"`
	Revision     id.Revision    `json:"revision"` // of the configuration in effect
	PromptTokens id.Tokens      `json:"prompt"`
	OutputTokens id.Tokens      `json:"output"`
	Idempotent   bool           `json:"idempotent"`
	FirstToken   string         `json:"firsttoken,omitempty"`
	Took         string         `json:"took"`
	Attempts     []call.Attempt `json:"attempts"`
	Policy       []policy.Value `json:"policy"`
	Code         call.Code      `json:"code,omitempty"`
	Run          call.Run       `json:"run"`
	Error        string         `json:"error,omitempty"`
	call         *call.Call     // holds only the configuration, from which Explain resolves the policy
}

// Journal is a ring buffer of the most recent entries. The zero value is empty.
type Journal struct {
	mu      sync.Mutex
	entries [capacity]*Entry
	index   map[id.Request]int // position in entries
	next    int                // position of the next entry
}

// Record adds an entry for c, which ended at end; first is when its first token was sent, or zero if none was.
func (j *Journal) Record(c *call.Call, first, end time.Time, err error) {
	e := &Entry{
		Request: c.ID, At: c.Start, Customer: c.Customer, Service: c.Service.ID, Revision: c.Config.Revision,
		PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, Idempotent: c.Idempotent, Took: end.Sub(c.Start).String(),
		Attempts: c.AttemptLog, Run: call.RunYes,
	}
	if !first.IsZero() {
		e.FirstToken = first.Sub(c.Start).String()
	}
	var r *call.Refusal
	if err != nil {
		e.Error, e.Run = err.Error(), call.RunUnknown
		if errors.As(err, &r) {
			e.Code, e.Run = r.Code, r.Run
		}
	}
	e.call = &call.Call{Config: c.Config}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.index == nil {
		j.index = map[id.Request]int{}
	}
	if old := j.entries[j.next]; old != nil {
		delete(j.index, old.Request)
	}
	j.entries[j.next] = e
	j.index[c.ID] = j.next
	j.next = (j.next + 1) % capacity
}

// Explain returns the entry of request n with the policy that applied to it.
func (j *Journal) Explain(n id.Request) (any, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	i, ok := j.index[n]
	if !ok {
		return nil, false
	}
	e := *j.entries[i]
	for _, s := range policy.Specs() {
		e.Policy = append(e.Policy, e.call.Config.Resolve(s.Name, e.Customer, e.Service))
	}
	return e, true
}
