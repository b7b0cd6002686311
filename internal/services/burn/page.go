package burn

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/services/call"
)

// Merge combines the reports of several VMs: counts are added, the recent burn rates averaged.
func Merge(lists [][]SeriesReport) []SeriesReport {
	sum := map[Key]*SeriesReport{}
	for _, list := range lists {
		for _, l := range list {
			x, ok := sum[l.Key]
			if !ok {
				n := l
				n.Causes = map[call.Code]uint64{}
				n.Spans = make([]Span, len(l.Spans))
				n.Recent = make([]float64, len(l.Recent))
				x = &n
				sum[l.Key] = x
			}
			x.merge(l, len(lists))
		}
	}
	out := []SeriesReport{}
	for _, x := range sum {
		x.Left = 1 - x.Spans[len(x.Spans)-1].Burn
		out = append(out, *x)
	}
	slices.SortFunc(out, func(a, b SeriesReport) int {
		return cmp.Or(cmp.Compare(a.Left, b.Left), cmp.Compare(a.Customer, b.Customer),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Objective, b.Objective))
	})
	return out
}

func (l *SeriesReport) merge(o SeriesReport, vms int) {
	for i, s := range o.Spans {
		x := &l.Spans[i]
		x.Window = s.Window
		x.Good += s.Good
		x.Bad += s.Bad
		if total := x.Good + x.Bad; total > 0 {
			x.Burn = float64(x.Bad) / float64(total) / (1 - l.Target)
		}
	}
	for c, n := range o.Causes {
		l.Causes[c] += n
	}
	for i, v := range o.Recent {
		l.Recent[i] += v / float64(vms)
	}
}

const (
	sparkWidth  = 240
	sparkHeight = 36
)

// sparkline draws the burn rate of the last hour as an SVG plot, with a line at 1.
func sparkline(recent []float64) template.HTML {
	top := 1.5
	for _, v := range recent {
		top = max(top, v)
	}
	y := func(v float64) float64 { return sparkHeight * (1 - v/top) }
	var points strings.Builder
	for i, v := range recent {
		fmt.Fprintf(&points, "%.1f,%.1f ", float64(i)*sparkWidth/float64(max(1, len(recent)-1)), y(v))
	}
	return template.HTML(fmt.Sprintf(
		`<svg width="%d" height="%d" role="img"><line x1="0" x2="%d" y1="%.1f" y2="%.1f" class="limit"/><polyline points="%s"/></svg>`,
		sparkWidth, sparkHeight, sparkWidth, y(1), y(1), points.String()))
}

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"spark":   sparkline,
	"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	"rate":    func(v float64) string { return fmt.Sprintf("%.2f", v) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body{font:14px/1.4 system-ui,sans-serif;margin:2rem;color:#222}table{border-collapse:collapse}
th,td{padding:.35rem .7rem;text-align:right;border-bottom:1px solid #ddd}th:nth-child(-n+3),td:nth-child(-n+3){text-align:left}
td.hot{background:#fbd5d5}td.warm{background:#fdf0c8}polyline{fill:none;stroke:#245;stroke-width:1.5}.limit{stroke:#c33;stroke-dasharray:3}
</style></head><body><h1>Service-level burn</h1>
<p>At {{.Now}}. A burn of 1 uses the error budget up exactly over the period; the red line marks 1.</p>
<table><thead><tr><th>customer</th><th>service</th><th>objective</th><th>target</th><th>budget left</th>
{{range .Windows}}<th>{{.}}</th>{{end}}<th>last hour</th><th>causes</th></tr></thead><tbody>
{{range .Lines}}<tr><td>{{or .Customer "(open)"}}</td><td>{{.Service}}</td><td>{{.Objective}}</td><td>{{percent .Target}}</td>
<td{{if lt .Left 0.0}} class="hot"{{else if lt .Left 0.5}} class="warm"{{end}}>{{percent .Left}}</td>
{{range .Spans}}<td{{if gt .Burn 2.0}} class="hot"{{else if gt .Burn 1.0}} class="warm"{{end}}>{{rate .Burn}}</td>{{end}}
<td>{{spark .Recent}}</td><td>{{range $c, $n := .Causes}}{{$c}} {{$n}} {{end}}</td></tr>
{{else}}<tr><td colspan="8">no requests yet</td></tr>{{end}}
</tbody></table></body></html>
`))

// Page writes a report as an HTML page with plots.
func Page(w io.Writer, now time.Time, list []SeriesReport) error {
	return errors.Annotate(pageTemplate.Execute(w, struct {
		Now     string
		Windows []time.Duration
		Lines   []SeriesReport
	}{now.UTC().Format(time.RFC3339), Windows(), list}), "render page")
}
