// Package claim describes the record that keeps a non-idempotent request from running twice.
package claim

import (
	"time"

	"wagtaillift/internal/modules/id"
)

// ID identifies a claim: the customer, the service and the caller's Idempotency-Key.
type ID struct {
	Customer id.Customer `json:"customer"`
	Service  id.Service  `json:"service"`
	Token    string      `json:"token"`
}

// State is the progress of a claimed request.
type State string

// The states of a claim.
const (
	Running State = "running"
	Done    State = "done"
	Unknown State = "unknown"
	NotRun  State = "notrun"
)

// Answer is the response kept for a resend.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Claim is one claimed request.
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
