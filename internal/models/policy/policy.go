// Package policy defines the fleet-wide defaults and the exceptions to them.
package policy

import (
	"math"

	"github.com/juju/errors"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/modules/id"
)

// Field is the name of a policy setting.
type Field string

// The policy fields.
const (
	Rate              Field = "rate"
	Burst             Field = "burst"
	Weight            Field = "weight"
	Autonomy          Field = "autonomy"
	Deadline          Field = "deadline"
	Wait              Field = "wait"
	QueueWait         Field = "queue"
	RetryRatio        Field = "retries"
	Hedge             Field = "hedge"
	OutputTokens      Field = "output"
	SpendWeight       Field = "spend"
	Cheap             Field = "cheap"
	ReclaimReserve    Field = "reserve"
	MinRoleDwell      Field = "dwell"
	AffinityLoadBound Field = "affinity"
	Quarantine        Field = "quarantine"
	Idempotence       Field = "idempotence"
	MaxLateness       Field = "late"
)

// Spec describes a field: its unit, bounds, initial value and purpose.
type Spec struct {
	Name    Field   `json:"name"`
	Unit    string  `json:"unit"`
	Min     float64 `json:"min"`
	Max     float64 `json:"max"`
	Initial float64 `json:"initial"`
	Help    string  `json:"help"`
}

var specs = []Spec{
	{Rate, "tokens/s", 0, 1e9, 20000, "sustained tokens a customer may use over all VMs"},
	{Burst, "tokens", 1, 1e10, 200000, "tokens a customer may use at once over all VMs"},
	{Weight, "ratio", 0.01, 100, 1, "fair share of a customer against the others"},
	{Autonomy, "s", 0, 86400, 0, "how long a VM without its lease goes on serving keyed calls"},
	{Deadline, "s", 0.1, 3600, 120, "time for a request that names none"},
	{Wait, "s", 0, 60, 0.25, "how long a request may wait for its customer's rate before it is refused"},
	{QueueWait, "s", 0, 60, 0.4, "how long a request may wait for room at an upstream before it is refused"},
	{RetryRatio, "ratio", 0, 1, 0.1, "retries per first attempt, by customer and service"},
	{Hedge, "s", 0, 60, 0, "delay before an idempotent plain call is sent a second time; 0 never"},
	{OutputTokens, "tokens", 1, 1e6, 512, "output limit of a request that names none"},
	{SpendWeight, "ratio", 0, 1, 0.5, "weight of spend against the worst-served customer"},
	{Cheap, "ratio", 0, 1, 0.6, "share of resumable work aimed at cheap upstreams"},
	{ReclaimReserve, "ratio", 0, 0.9, 0.1, "room kept on other upstreams for a zone-wide reclaim"},
	{MinRoleDwell, "s", 1, 86400, 300, "least time between two role changes of one engine"},
	{AffinityLoadBound, "ratio", 1, 10, 1.25, "load bound of prefix locality, as a multiple of the mean"},
	{Quarantine, "s", 0, 86400, 3600, "how long a request that crashed two engines is refused"},
	{MaxLateness, "ratio", 0.1, 100, 2, "how late, in objectives, a first event is still worth an engine's time; later ones are refused at once"},
	{Idempotence, "s", 1, 604800, 86400, "how long the answer to an Idempotency-Key is kept"},
}

// Specs returns the description of every field.
func Specs() []Spec { return append([]Spec(nil), specs...) }

// Lookup returns the description of f.
func Lookup(f Field) (Spec, bool) {
	for _, s := range specs {
		if s.Name == f {
			return s, true
		}
	}
	return Spec{}, false
}

// CheckValue returns an error if f is unknown or v is out of its bounds.
func CheckValue(f Field, v float64) error {
	s, ok := Lookup(f)
	if !ok {
		return errors.NotFoundf("default %q", f)
	}
	if math.IsNaN(v) || v < s.Min || v > s.Max {
		return errors.NotValidf("%s = %v (%v to %v %s)", f, v, s.Min, s.Max, s.Unit)
	}
	return nil
}

// Defaults holds the fields that operators have set. All other fields have their initial value.
type Defaults map[Field]float64

// Exception overrides a field for a customer, a service or both.
type Exception struct {
	ID       string      `json:"id"`
	Customer id.Customer `json:"customer,omitempty"`
	Service  id.Service  `json:"service,omitempty"`
	Field    Field       `json:"field"`
	Value    float64     `json:"value"`
	Reason   string      `json:"reason"`
}

// Check reports the first invalid field of e.
func (e Exception) Check() error {
	if !customer.ValidID(e.ID) {
		return errors.NotValidf("exception id %q (1 to 63 of a-z 0-9 . _ -)", e.ID)
	}
	if e.Customer == "" && e.Service == "" {
		return errors.NotValidf("exception %q without customer and service", e.ID)
	}
	if e.Reason == "" {
		return errors.NotValidf("exception %q without a reason", e.ID)
	}
	if (e.Field == Rate || e.Field == Burst) && e.Service != "" {
		return errors.NotValidf("exception %q: %s holds over all services of a customer", e.ID, e.Field)
	}
	return CheckValue(e.Field, e.Value)
}

// matches reports whether e applies to c and s, and its specificity.
func (e Exception) matches(c id.Customer, s id.Service) (specificity int, ok bool) {
	if e.Customer != "" {
		if e.Customer != c {
			return 0, false
		}
		specificity += 2
	}
	if e.Service != "" {
		if e.Service != s {
			return 0, false
		}
		specificity++
	}
	return specificity, true
}

// Value is the effective value of a field, with its origin.
type Value struct {
	Field     Field   `json:"field"`
	Value     float64 `json:"value"`
	Unit      string  `json:"unit"`
	Origin    string  `json:"origin"` // initial, default or exception
	Exception string  `json:"exception,omitempty"`
	Reason    string  `json:"reason,omitempty"`
}

// Resolve returns the effective value of field f for c and s: the most specific exception, else the default, else the
// initial value. Among equally specific exceptions, the one with the lowest ID wins.
func Resolve(d Defaults, exceptions map[string]Exception, f Field, c id.Customer, s id.Service) Value {
	spec, _ := Lookup(f)
	v := Value{Field: f, Value: spec.Initial, Unit: spec.Unit, Origin: "initial"}
	if set, ok := d[f]; ok {
		v.Value, v.Origin = set, "default"
	}
	highest := 0
	for _, e := range exceptions {
		if e.Field != f {
			continue
		}
		specificity, ok := e.matches(c, s)
		if !ok || specificity < highest || specificity == highest && e.ID > v.Exception {
			continue
		}
		highest = specificity
		v.Value, v.Origin, v.Exception, v.Reason = e.Value, "exception", e.ID, e.Reason
	}
	return v
}
