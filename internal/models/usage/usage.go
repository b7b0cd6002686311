// Package usage describes what customers are billed for.
package usage

import "wagtaillift/internal/modules/id"

// Source identifies one cumulative counter.
type Source struct {
	VM          id.VM          `json:"vm"`
	Incarnation id.Incarnation `json:"incarnation"`
	Customer    id.Customer    `json:"customer"`
	Service     id.Service     `json:"service"`
	Window      id.Window      `json:"window,omitempty"` // in which the requests began to run
}

// Count is a cumulative amount; merging two counts of one source takes the larger of each part.
type Count struct {
	Requests uint64 `json:"requests"`
	Prompt   uint64 `json:"prompt"`
	Output   uint64 `json:"output"`
}

// Merge returns the larger of each part of c and o.
func (c Count) Merge(o Count) Count {
	return Count{max(c.Requests, o.Requests), max(c.Prompt, o.Prompt), max(c.Output, o.Output)}
}

// Add returns the sum of c and o.
func (c Count) Add(o Count) Count {
	return Count{c.Requests + o.Requests, c.Prompt + o.Prompt, c.Output + o.Output}
}

// Sub returns c less o.
func (c Count) Sub(o Count) Count {
	return Count{c.Requests - o.Requests, c.Prompt - o.Prompt, c.Output - o.Output}
}

// Zero reports whether c counts nothing.
func (c Count) Zero() bool { return c == Count{} }

// Reading is a counter with its source.
type Reading struct {
	Source Source `json:"source"`
	Count  Count  `json:"count"`
}

// Line is the figure of one customer and service in one window.
type Line struct {
	Customer id.Customer `json:"customer"`
	Service  id.Service  `json:"service"`
	Count    Count       `json:"count"`
}

// Report is the sealed figure of one window. It never changes once it is sealed.
type Report struct {
	Window       id.Window `json:"window"`
	Lines        []Line    `json:"lines"`
	Acknowledged bool      `json:"acknowledged,omitempty"`
}
