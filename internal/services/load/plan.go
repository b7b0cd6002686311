// Package load generates open-loop load on a fleet, checks every answer and measures latency and throughput.
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

// Mix holds the mean sizes of the requests of one phase.
type Mix struct {
	Prompt int `json:"prompt"` // mean prompt tokens
	Output int `json:"output"` // mean output tokens
}

// Phase is a period of the plan with constant load parameters.
type Phase struct {
	Name        string        `json:"name"`
	Duration    time.Duration `json:"long"` // duration
	Rate        float64       `json:"rate"` // requests per second at weight 1
	Mix         Mix           `json:"mix"`
	Surge       string        `json:"surge,omitempty"` // customer whose rate is multiplied by SurgeFactor
	SurgeFactor float64       `json:"times,omitempty"`
}

// Customer is a customer on whose behalf requests are sent.
type Customer struct {
	Name   string  `json:"name"`
	Key    string  `json:"-"`
	Weight float64 `json:"weight"` // the customer sends Weight times Phase.Rate
}

// Arrival is one planned request. At is the time since the start of the run.
type Arrival struct {
	At          time.Duration `json:"at"`
	Customer    string        `json:"customer"`
	Phase       string        `json:"phase"`
	Prompt      int           `json:"prompt"`
	Output      int           `json:"output"`
	PromptGroup int           `json:"group"` // requests of the same group share the first half of their prompts
	Stream      bool          `json:"stream"`
	Booking     bool          `json:"booking,omitempty"` // a non-idempotent call to the application instead of a model call
	Serial      int           `json:"serial"`
}

const (
	promptGroups  = 24
	minTokens     = 4
	sizeSigma     = 0.5 // standard deviation of the logarithm of prompt and output sizes
	bytesPerToken = 4
)

// Plan returns all arrivals, drawn from seed as a Poisson process for each customer and phase. The same arguments give the
// same plan. Bookings is the fraction of the arrivals that are bookings.
func Plan(seed uint64, phases []Phase, customers []Customer, bookings float64) []Arrival {
	var list []Arrival
	start := time.Duration(0)
	for p, ph := range phases {
		for c, cust := range customers {
			r := rand.New(rand.NewPCG(seed, uint64(p)<<32|uint64(c)))
			rate := ph.Rate * cust.Weight
			if ph.Surge == cust.Name {
				rate *= ph.SurgeFactor
			}
			list = append(list, phaseArrivals(r, ph, cust.Name, start, rate, bookings)...)
		}
		start += ph.Duration
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range list {
		list[i].Serial = i
	}
	return list
}

// phaseArrivals draws the arrivals of one customer in one phase, which begins at start.
func phaseArrivals(r *rand.Rand, ph Phase, customer string, start time.Duration, rate, bookings float64) []Arrival {
	var list []Arrival
	if rate <= 0 {
		return nil
	}
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		if at >= ph.Duration.Seconds() {
			return list
		}
		list = append(list, Arrival{
			At: start + time.Duration(at*float64(time.Second)), Customer: customer, Phase: ph.Name,
			Prompt: drawSize(r, ph.Mix.Prompt), Output: drawSize(r, ph.Mix.Output), PromptGroup: r.IntN(promptGroups),
			Stream: r.IntN(10) > 0, Booking: r.Float64() < bookings,
		})
	}
}

// drawSize draws a log-normally distributed size with the given mean, at least minTokens.
func drawSize(r *rand.Rand, mean int) int {
	drawn := float64(mean) * math.Exp(sizeSigma*r.NormFloat64()-sizeSigma*sizeSigma/2)
	return max(minTokens, int(drawn))
}

// Text returns the prompt of a: the first half is shared by its group, the second half is unique.
func (a Arrival) Text() string {
	shared := repeatTo(fmt.Sprintf("history %d ", a.PromptGroup), a.Prompt*bytesPerToken/2)
	return shared + repeatTo(fmt.Sprintf("question %d ", a.Serial), a.Prompt*bytesPerToken/2)
}

// repeatTo repeats s up to a length of n bytes, at least 1.
func repeatTo(s string, n int) string {
	return strings.Repeat(s, n/len(s)+1)[:max(n, 1)]
}

// WritePlan writes a plan as a trace, with one JSON object per line.
func WritePlan(w io.Writer, list []Arrival) error {
	enc := json.NewEncoder(w)
	for _, a := range list {
		if err := enc.Encode(a); err != nil {
			return errors.Annotate(err, "write trace")
		}
	}
	return nil
}

// ReadPlan reads a plan from a trace that WritePlan wrote.
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
