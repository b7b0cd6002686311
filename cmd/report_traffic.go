package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/traffic"
)

type reportTraffic struct {
	Metrics []string      `arg:"--metrics,separate,required" help:"metrics page, http://host:port/metrics; one per VM"`
	Span    time.Duration `arg:"--span" default:"10s" help:"time between the two readings that are compared"`
	Format  string        `arg:"--format" default:"text" help:"text or json"`
}

func (a *reportTraffic) run(ctx context.Context, out io.Writer) error {
	if a.Span <= 0 {
		return exitErrorf(ExitUsage, "--span %s is not above 0", a.Span)
	}
	render := map[string]func(io.Writer, []traffic.Line) error{"text": writeTrafficText, "json": writeTrafficJSON}[a.Format]
	if render == nil {
		return exitErrorf(ExitUsage, "--format %q is not text or json", a.Format)
	}
	before, err := a.read(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	if !pause.For(ctx, a.Span) {
		return ctx.Err()
	}
	after, err := a.read(ctx)
	if err != nil {
		return err
	}
	return render(out, traffic.Rates(before, after, time.Since(start)))
}

// read reads the metrics pages of all VMs.
func (a *reportTraffic) read(ctx context.Context) (list []traffic.Sample, err error) {
	client := &http.Client{Timeout: adminTimeout}
	for _, url := range a.Metrics {
		s, err := readTraffic(ctx, client, url)
		if err != nil {
			return nil, errors.Annotatef(err, "metrics of %s", url)
		}
		list = append(list, s)
	}
	return list, nil
}

func readTraffic(ctx context.Context, client *http.Client, url string) (traffic.Sample, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Annotate(err, "build request")
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, errors.Annotate(err, "get")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return traffic.Read(resp.Body)
}

func writeTrafficJSON(w io.Writer, list []traffic.Line) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(list)
}

func writeTrafficText(w io.Writer, list []traffic.Line) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "method\tside\tVMs\tcalls/s a VM\tB/s a VM\tB a call\tcalls/s, most\t")
	for _, l := range list {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%.2f\t%.0f\t%.0f\t%.2f\t\n", l.Method, l.Side, l.VMs, l.Calls, l.Bytes, l.BytesPerCall, l.MostCalls)
	}
	return tw.Flush()
}
