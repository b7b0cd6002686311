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

// Figure is one line of a result.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Result sums up the outcomes of a run.
type Result struct {
	Figures   []Figure           `json:"figures"`
	Customers map[string]float64 `json:"customers"` // part of a customer's requests that met the objectives
	Codes     map[string]int     `json:"codes"`
}

// Value returns the figure named n, zero where there is none.
func (r *Result) Value(n string) float64 {
	for _, f := range r.Figures {
		if f.Name == n {
			return f.Value
		}
	}
	return 0
}

func (r *Result) add(name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{name, value, unit})
}

// tally counts outcomes.
type tally struct {
	sent, good, whole, wrong, cut, refused int
}

// Sum sums up list, which took span.
func Sum(opt *Options, list []Outcome, span time.Duration) Result {
	r := Result{Customers: map[string]float64{}, Codes: map[string]int{}}
	first := hdrhistogram.New(1, histogramMax, histogramDigits)
	gap := hdrhistogram.New(1, histogramMax, histogramDigits)
	var all tally
	per := map[string]*tally{}
	for i := range list {
		o := &list[i]
		c, ok := per[o.Customer]
		if !ok {
			c = &tally{}
			per[o.Customer] = c
		}
		all.count(opt, o)
		c.count(opt, o)
		if o.Code != "" {
			r.Codes[o.Code]++
		}
		if o.Whole && o.Stream && !o.Booking {
			first.RecordValue(o.First.Microseconds())
			if o.Tokens > 1 {
				gap.RecordValue(((o.Total - o.First) / time.Duration(o.Tokens-1)).Microseconds())
			}
		}
	}
	seconds := span.Seconds()
	r.add("sent", float64(all.sent), "requests")
	r.add("goodput", float64(all.good)/seconds, "requests/s")
	r.add("throughput", float64(all.whole)/seconds, "requests/s")
	r.add("first_token_p50", ms(first.ValueAtQuantile(50)), "ms")
	r.add("first_token_p95", ms(first.ValueAtQuantile(95)), "ms")
	r.add("first_token_p99", ms(first.ValueAtQuantile(99)), "ms")
	r.add("token_gap_p50", ms(gap.ValueAtQuantile(50)), "ms")
	r.add("token_gap_p95", ms(gap.ValueAtQuantile(95)), "ms")
	r.add("wrong_answers", float64(all.wrong), "requests")
	r.add("cut_requests", float64(all.cut), "requests")
	r.add("refused", float64(all.refused), "requests")
	worst := 1.0
	for _, n := range slices.Sorted(maps.Keys(per)) {
		part := float64(per[n].good) / float64(max(1, per[n].sent))
		r.Customers[n] = part
		if n != opt.Surge {
			worst = min(worst, part)
		}
	}
	r.add("worst_customer", worst, "ratio")
	return r
}

func ms(us int64) float64 { return float64(us) / 1000 }

func (t *tally) count(opt *Options, o *Outcome) {
	t.sent++
	if o.Good(opt) {
		t.good++
	}
	if o.Whole {
		t.whole++
	}
	if o.Wrong {
		t.wrong++
	}
	if o.Cut {
		t.cut++
	}
	if o.Code != "" {
		t.refused++
	}
}

// WriteLines writes the figures as lines of name, value and unit.
func (r *Result) WriteLines(w io.Writer, prefix string) {
	for _, f := range r.Figures {
		fmt.Fprintf(w, "%s%s %s %s\n", prefix, f.Name, strconv.FormatFloat(f.Value, 'g', 6, 64), f.Unit)
	}
	for _, n := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(w, "%scode_%s %d requests\n", prefix, n, r.Codes[n])
	}
}

// WriteCSV writes one row an outcome.
func WriteCSV(w io.Writer, list []Outcome) error {
	cw := csv.NewWriter(w)
	cw.Write([]string{"serial", "at_ms", "customer", "phase", "prompt", "output", "status", "code", "first_ms", "total_ms", "tokens", "whole"})
	for _, o := range list {
		cw.Write([]string{
			strconv.Itoa(o.Serial), strconv.FormatInt(o.At.Milliseconds(), 10), o.Customer, o.Phase, strconv.Itoa(o.Prompt),
			strconv.Itoa(o.Output), strconv.Itoa(o.Status), o.Code, strconv.FormatInt(o.First.Milliseconds(), 10),
			strconv.FormatInt(o.Total.Milliseconds(), 10), strconv.Itoa(o.Tokens), strconv.FormatBool(o.Whole),
		})
	}
	cw.Flush()
	return errors.Annotate(cw.Error(), "write CSV")
}
