// Package journal keeps the latest requests of a VM with the decisions taken for them.
package journal

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
)

const kept = 4096

// Entry explains what happened to one request.
type Entry struct {
	Request    id.Request     `json:"request"`
	At         time.Time      `json:"at"`
	Customer   id.Customer    `json:"customer,omitempty"`
	Service    id.Service     `json:"service"`
	Revision   id.Revision    `json:"revision"` // of the configuration that decided
	Prompt     id.Tokens      `json:"prompt"`
	Output     id.Tokens      `json:"output"`
	Idempotent bool           `json:"idempotent"`
	FirstToken string         `json:"firsttoken,omitempty"`
	Took       string         `json:"took"`
	Attempts   []call.Attempt `json:"attempts"`
	Policy     []policy.Value `json:"policy"`
	Code       call.Code      `json:"code,omitempty"`
	Run        call.Run       `json:"run"`
	Error      string         `json:"error,omitempty"`
	call       *call.Call
}

// Journal is a ring of the latest entries. The zero value is empty.
type Journal struct {
	mu   sync.Mutex
	ring [kept]*Entry
	at   map[id.Request]int
	next int
}

// Record keeps what happened to c.
func (j *Journal) Record(c *call.Call, first, end time.Time, err error) {
	e := &Entry{
		Request: c.ID, At: c.Start, Customer: c.Customer, Service: c.Service.ID, Revision: c.Config.Revision,
		Prompt: c.Prompt, Output: c.Output, Idempotent: c.Idempotent, Took: end.Sub(c.Start).String(),
		Attempts: c.Trail, Run: call.Yes,
	}
	if !first.IsZero() {
		e.FirstToken = first.Sub(c.Start).String()
	}
	var r *call.Refusal
	if err != nil {
		e.Error, e.Run = err.Error(), call.Unknown
		if errors.As(err, &r) {
			e.Code, e.Run = r.Code, r.Run
		}
	}
	e.call = &call.Call{Config: c.Config}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.at == nil {
		j.at = map[id.Request]int{}
	}
	if old := j.ring[j.next]; old != nil {
		delete(j.at, old.Request)
	}
	j.ring[j.next] = e
	j.at[c.ID] = j.next
	j.next = (j.next + 1) % kept
}

// Explain returns the entry of n with the policy that was in force for it.
func (j *Journal) Explain(n id.Request) (any, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	i, ok := j.at[n]
	if !ok {
		return nil, false
	}
	e := *j.ring[i]
	for _, s := range policy.Specs() {
		e.Policy = append(e.Policy, e.call.Config.Resolve(s.Name, e.Customer, e.Service))
	}
	return e, true
}
