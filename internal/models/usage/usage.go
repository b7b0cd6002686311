// Package usage defines the counters and reports for billing customers.
package usage

import "wagtaillift/internal/modules/id"

// Source identifies one cumulative counter.
type Source struct {
	VM          id.VM          `json:"vm"`
	Incarnation id.Incarnation `json:"incarnation"`
	Customer    id.Customer    `json:"customer"`
	Service     id.Service     `json:"service"`
	Window      id.Window      `json:"window,omitempty"` // window in which the requests started
}

// Count holds cumulative totals. Merging two counts of one source keeps the larger value of each field.
type Count struct {
	Requests     uint64 `json:"requests"`
	PromptTokens uint64 `json:"prompt"`
	OutputTokens uint64 `json:"output"`
}

// Merge returns the maximum of each field of c and o.
func (c Count) Merge(o Count) Count {
	return Count{max(c.Requests, o.Requests), max(c.PromptTokens, o.PromptTokens), max(c.OutputTokens, o.OutputTokens)}
}

// Add returns the sum of c and o.
func (c Count) Add(o Count) Count {
	return Count{c.Requests + o.Requests, c.PromptTokens + o.PromptTokens, c.OutputTokens + o.OutputTokens}
}

// Sub returns c minus o.
func (c Count) Sub(o Count) Count {
	return Count{c.Requests - o.Requests, c.PromptTokens - o.PromptTokens, c.OutputTokens - o.OutputTokens}
}

// Zero reports whether all fields of c are 0.
func (c Count) Zero() bool { return c == Count{} }

// Reading is the value of one counter.
type Reading struct {
	Source Source `json:"source"`
	Count  Count  `json:"count"`
}

// Line is the usage of one customer and service in one window.
type Line struct {
	Customer id.Customer `json:"customer"`
	Service  id.Service  `json:"service"`
	Count    Count       `json:"count"`
}

// Report is the sealed usage of one window. Its lines never change.
type Report struct {
	Window       id.Window `json:"window"`
	Lines        []Line    `json:"lines"`
	Acknowledged bool      `json:"acknowledged,omitempty"`
}
