package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Metric is a measured value with its name and unit.
type Metric struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Result summarizes the outcomes of a run.
type Result struct {
	Metrics   []Metric           `json:"figures"`
	Customers map[string]float64 `json:"customers"` // fraction of each customer's requests that met the objectives
	Codes     map[string]int     `json:"codes"`     // number of requests by error code
}

// Value returns the value of the metric named n, or zero if there is none.
func (r *Result) Value(n string) float64 {
	for _, m := range r.Metrics {
		if m.Name == n {
			return m.Value
		}
	}
	return 0
}

func (r *Result) add(name string, value float64, unit string) {
	r.Metrics = append(r.Metrics, Metric{name, value, unit})
}

// outcomeCounts holds the number of outcomes of each kind.
type outcomeCounts struct {
	sent, metObjectives, correct, wrong, truncated, refused int
}

// Summarize summarizes list, the outcomes of a run that took span.
func Summarize(opt *Options, list []Outcome, span time.Duration) Result {
	r := Result{Customers: map[string]float64{}, Codes: map[string]int{}}
	firstTokens := hdrhistogram.New(1, histogramMax, histogramDigits)
	tokenGaps := hdrhistogram.New(1, histogramMax, histogramDigits)
	var all outcomeCounts
	byCustomer := map[string]*outcomeCounts{}
	for i := range list {
		o := &list[i]
		c, ok := byCustomer[o.Customer]
		if !ok {
			c = &outcomeCounts{}
			byCustomer[o.Customer] = c
		}
		all.count(opt, o)
		c.count(opt, o)
		if o.Code != "" {
			r.Codes[o.Code]++
		}
		if o.Correct && o.Stream && !o.Booking {
			firstTokens.RecordValue(o.FirstToken.Microseconds())
			if o.Tokens > 1 {
				tokenGaps.RecordValue(((o.Total - o.FirstToken) / time.Duration(o.Tokens-1)).Microseconds())
			}
		}
	}
	seconds := span.Seconds()
	r.add("sent", float64(all.sent), "requests")
	r.add("goodput", float64(all.metObjectives)/seconds, "requests/s")
	r.add("throughput", float64(all.correct)/seconds, "requests/s")
	r.add("first_token_p50", ms(firstTokens.ValueAtQuantile(50)), "ms")
	r.add("first_token_p95", ms(firstTokens.ValueAtQuantile(95)), "ms")
	r.add("first_token_p99", ms(firstTokens.ValueAtQuantile(99)), "ms")
	r.add("token_gap_p50", ms(tokenGaps.ValueAtQuantile(50)), "ms")
	r.add("token_gap_p95", ms(tokenGaps.ValueAtQuantile(95)), "ms")
	r.add("wrong_answers", float64(all.wrong), "requests")
	r.add("cut_requests", float64(all.truncated), "requests")
	r.add("refused", float64(all.refused), "requests")
	worst := 1.0
	for _, n := range slices.Sorted(maps.Keys(byCustomer)) {
		ratio := float64(byCustomer[n].metObjectives) / float64(max(1, byCustomer[n].sent))
		r.Customers[n] = ratio
		if n != opt.Surge {
			worst = min(worst, ratio)
		}
	}
	r.add("worst_customer", worst, "ratio")
	return r
}

// ms converts microseconds to milliseconds.
func ms(us int64) float64 { return float64(us) / 1000 }

// count adds one outcome.
func (t *outcomeCounts) count(opt *Options, o *Outcome) {
	t.sent++
	if o.Good(opt) {
		t.metObjectives++
	}
	if o.Correct {
		t.correct++
	}
	if o.Wrong {
		t.wrong++
	}
	if o.Truncated {
		t.truncated++
	}
	if o.Code != "" {
		t.refused++
	}
}

// WriteLines writes one line per metric and error code, with name, value and unit. Prefix is put before each name.
func (r *Result) WriteLines(w io.Writer, prefix string) {
	for _, m := range r.Metrics {
		fmt.Fprintf(w, "%s%s %s %s\n", prefix, m.Name, strconv.FormatFloat(m.Value, 'g', 6, 64), m.Unit)
	}
	for _, n := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(w, "%scode_%s %d requests\n", prefix, n, r.Codes[n])
	}
}

// WriteCSV writes a header and one row per outcome.
func WriteCSV(w io.Writer, list []Outcome) error {
	cw := csv.NewWriter(w)
	cw.Write([]string{"serial", "at_ms", "customer", "phase", "prompt", "output", "status", "code", "first_ms", "total_ms", "tokens", "whole"})
	for _, o := range list {
		cw.Write([]string{
			strconv.Itoa(o.Serial), strconv.FormatInt(o.At.Milliseconds(), 10), o.Customer, o.Phase, strconv.Itoa(o.Prompt),
			strconv.Itoa(o.Output), strconv.Itoa(o.Status), o.Code, strconv.FormatInt(o.FirstToken.Milliseconds(), 10),
			strconv.FormatInt(o.Total.Milliseconds(), 10), strconv.Itoa(o.Tokens), strconv.FormatBool(o.Correct),
		})
	}
	cw.Flush()
	return errors.Annotate(cw.Error(), "write CSV")
}
