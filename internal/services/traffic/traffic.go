// Package traffic summarizes what VMs send each other, by kind of call, from the counters on their metrics pages.
package traffic

import (
	"bufio"
	"cmp"
	"io"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Side tells whether a VM made calls or served them.
type Side string

// The sides of a call.
const (
	Made   Side = "made"
	Served Side = "served"
)

// key is one kind of call on one side.
type key struct {
	method string
	side   Side
}

// count is what one counter pair of a VM holds.
type count struct{ calls, bytes int64 }

// Sample is one reading of the counters of one VM.
type Sample map[key]count

// counterLine matches a counter of calls or bytes by method; see vm.writeControlMetrics.
var counterLine = regexp.MustCompile(`^wagtaillift_peer_method_(calls|bytes)_total\{method="([^"]*)",side="(made|served)"\} (\d+)$`)

// Read reads a metrics page. It returns an error if the page has no counter of calls, as that of another program.
func Read(page io.Reader) (Sample, error) {
	s := Sample{}
	lines := bufio.NewScanner(page)
	for lines.Scan() {
		m := counterLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		n, err := strconv.ParseInt(m[4], 10, 64)
		if err != nil {
			return nil, errors.Annotatef(err, "counter of %s", m[2])
		}
		k := key{m[2], Side(m[3])}
		c := s[k]
		if m[1] == "calls" {
			c.calls = n
		} else {
			c.bytes = n
		}
		s[k] = c
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Annotate(err, "read metrics page")
	}
	if len(s) == 0 {
		return nil, errors.NotFoundf("counters of calls by method")
	}
	return s, nil
}

// Line is the traffic of one kind of call on one side, for one VM on average and for the VM with most calls.
type Line struct {
	Method       string  `json:"method"`
	Side         Side    `json:"side"`
	VMs          int     `json:"vms"`   // that made or served any
	Calls        float64 `json:"calls"` // a second and VM
	Bytes        float64 `json:"bytes"` // a second and VM, of questions and answers
	BytesPerCall float64 `json:"size"`
	MostCalls    float64 `json:"most"` // a second, of the VM with most
}

// Rates returns the traffic between the samples that were taken before and after span, one each of the same VMs in the same order. The kinds with
// most bytes come first. A VM that has started anew in between counts from its start.
func Rates(before, after []Sample, span time.Duration) []Line {
	byKey := map[key]*Line{}
	for i, s := range after {
		for k, c := range s {
			b := before[i][k]
			if c.calls < b.calls {
				b = count{}
			}
			add(byKey, k, count{c.calls - b.calls, c.bytes - b.bytes}, span)
		}
	}
	var list []Line
	for _, l := range byKey {
		if l.Calls > 0 {
			l.BytesPerCall = l.Bytes / l.Calls
		}
		l.Calls, l.Bytes = l.Calls/float64(len(after)), l.Bytes/float64(len(after))
		list = append(list, *l)
	}
	slices.SortFunc(list, func(a, b Line) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Side, b.Side))
	})
	return list
}

// add adds the calls of one VM within span.
func add(byKey map[key]*Line, k key, c count, span time.Duration) {
	l, ok := byKey[k]
	if !ok {
		l = &Line{Method: k.method, Side: k.side}
		byKey[k] = l
	}
	if c.calls == 0 {
		return
	}
	calls := float64(c.calls) / span.Seconds()
	l.VMs++
	l.Calls += calls
	l.Bytes += float64(c.bytes) / span.Seconds()
	l.MostCalls = max(l.MostCalls, calls)
}
