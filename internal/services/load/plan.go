// Package load sends open-loop load to a fleet, checks every answer and measures.
package load

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Mix is the shape of requests during one phase.
type Mix struct {
	Prompt int `json:"prompt"` // mean prompt tokens
	Output int `json:"output"` // mean output tokens
}

// Phase is a span of time with its load.
type Phase struct {
	Name  string        `json:"name"`
	Long  time.Duration `json:"long"`
	Rate  float64       `json:"rate"` // requests a second of all customers at weight 1
	Mix   Mix           `json:"mix"`
	Surge string        `json:"surge,omitempty"` // customer that sends Times its rate
	Times float64       `json:"times,omitempty"`
}

// Customer is one sender.
type Customer struct {
	Name   string  `json:"name"`
	Key    string  `json:"-"`
	Weight float64 `json:"weight"` // part of the load
}

// Arrival is one planned request.
type Arrival struct {
	At       time.Duration `json:"at"`
	Customer string        `json:"customer"`
	Phase    string        `json:"phase"`
	Prompt   int           `json:"prompt"`
	Output   int           `json:"output"`
	Group    int           `json:"group"` // requests of a group share their prompt's leading half
	Stream   bool          `json:"stream"`
	Booking  bool          `json:"booking,omitempty"` // a non-idempotent call of the application
	Serial   int           `json:"serial"`
}

const (
	groups      = 24
	minTokens   = 4
	spreadSigma = 0.5 // of the log-normal sizes
	bytesToken  = 4
)

// Plan draws all arrivals from seed: a Poisson process for each customer and phase. The same arguments give the same
// plan, whatever happens while it runs.
func Plan(seed uint64, phases []Phase, customers []Customer, bookings float64) []Arrival {
	var list []Arrival
	start := time.Duration(0)
	for p, ph := range phases {
		for c, cust := range customers {
			r := rand.New(rand.NewPCG(seed, uint64(p)<<32|uint64(c)))
			rate := ph.Rate * cust.Weight
			if ph.Surge == cust.Name {
				rate *= ph.Times
			}
			list = append(list, arrivals(r, ph, cust.Name, start, rate, bookings)...)
		}
		start += ph.Long
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range list {
		list[i].Serial = i
	}
	return list
}

func arrivals(r *rand.Rand, ph Phase, customer string, start time.Duration, rate, bookings float64) []Arrival {
	var list []Arrival
	if rate <= 0 {
		return nil
	}
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		if at >= ph.Long.Seconds() {
			return list
		}
		list = append(list, Arrival{
			At: start + time.Duration(at*float64(time.Second)), Customer: customer, Phase: ph.Name,
			Prompt: size(r, ph.Mix.Prompt), Output: size(r, ph.Mix.Output), Group: r.IntN(groups),
			Stream: r.IntN(10) > 0, Booking: r.Float64() < bookings,
		})
	}
}

// size draws a log-normal size around mean.
func size(r *rand.Rand, mean int) int {
	v := float64(mean) * math.Exp(spreadSigma*r.NormFloat64()-spreadSigma*spreadSigma/2)
	return max(minTokens, int(v))
}

// Text returns the prompt of a: its group's leading half, then its own.
func (a Arrival) Text() string {
	shared := fill(fmt.Sprintf("history %d ", a.Group), a.Prompt*bytesToken/2)
	return shared + fill(fmt.Sprintf("question %d ", a.Serial), a.Prompt*bytesToken/2)
}

func fill(s string, n int) string {
	return strings.Repeat(s, n/len(s)+1)[:max(n, 1)]
}

// WritePlan writes a plan as a trace, one JSON object a line.
func WritePlan(w io.Writer, list []Arrival) error {
	enc := json.NewEncoder(w)
	for _, a := range list {
		if err := enc.Encode(a); err != nil {
			return errors.Annotate(err, "write trace")
		}
	}
	return nil
}

// ReadPlan reads a trace.
func ReadPlan(r io.Reader) ([]Arrival, error) {
	var list []Arrival
	sc := bufio.NewScanner(r)
	for line := 1; sc.Scan(); line++ {
		var a Arrival
		if err := json.Unmarshal(sc.Bytes(), &a); err != nil {
			return nil, errors.Annotatef(err, "trace line %d", line)
		}
		list = append(list, a)
	}
	return list, errors.Annotate(sc.Err(), "read trace")
}
