package load

import (
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/wcharczuk/go-chart/v2"
)

const (
	plotWidth  = 1000
	plotHeight = 420
)

// Plot writes a PNG that plots the time to first token of each correctly answered stream against its arrival time.
func Plot(w io.Writer, list []Outcome) error {
	var x, y []float64
	for _, o := range list {
		if o.Correct && o.Stream && !o.Booking {
			x = append(x, o.At.Seconds())
			y = append(y, float64(o.FirstToken)/float64(time.Millisecond))
		}
	}
	if len(x) < 2 {
		return errors.NotValidf("plot of %d streams", len(x))
	}
	c := chart.Chart{
		Width: plotWidth, Height: plotHeight, Title: "first token",
		XAxis: chart.XAxis{Name: "arrival, s"},
		YAxis: chart.YAxis{Name: "first token, ms", Range: &chart.ContinuousRange{Min: 0}},
		Series: []chart.Series{chart.ContinuousSeries{
			XValues: x, YValues: y, Style: chart.Style{StrokeWidth: chart.Disabled, DotWidth: 2},
		}},
	}
	return errors.Annotate(c.Render(chart.PNG, w), "render plot")
}
