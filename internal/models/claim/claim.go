// Package claim defines the record that prevents a non-idempotent request from running twice.
package claim

import (
	"time"

	"wagtaillift/internal/modules/id"
)

// ID identifies a claim: the customer, the service and the caller's Idempotency-Key.
type ID struct {
	Customer       id.Customer `json:"customer"`
	Service        id.Service  `json:"service"`
	IdempotencyKey string      `json:"token"`
}

// State is the progress of a claimed request.
type State string

// The states of a claim.
const (
	Running State = "running"
	Done    State = "done"
	Unknown State = "unknown" // may or may not have run
	NotRun  State = "notrun"  // did not run, so it may be claimed again
)

// Answer is the stored response that a repeated request gets.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Claim records which VM runs a request, the state of the request and its answer.
type Claim struct {
	ID          ID             `json:"id"`
	Digest      string         `json:"digest"` // hash of method, path and body
	Owner       id.VM          `json:"owner"`
	Incarnation id.Incarnation `json:"incarnation"`
	Request     id.Request     `json:"request"`
	State       State          `json:"state"`
	Answer      *Answer        `json:"answer,omitempty"`
	Expires     time.Time      `json:"expires"`
}
