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

	"wagtaillift/internal/services/burn"
)

type reportArgs struct {
	Burn    *reportBurn    `arg:"subcommand:burn" help:"show how fast the error budgets burn"`
	Traffic *reportTraffic `arg:"subcommand:traffic" help:"show what VMs send each other, by kind of call"`
}

type reportBurn struct {
	Server []string `arg:"--server,separate,required" help:"administration address, http://host:port; one per VM"`
	Key    string   `arg:"--key,env:WAGTAILLIFT_KEY" help:"operator's key"`
	Format string   `arg:"--format" default:"text" help:"text, json or html"`
	Out    string   `arg:"--out" help:"write to this file"`
}

func (a *reportArgs) run(ctx context.Context, out io.Writer) error {
	switch {
	case a.Burn != nil:
		return a.Burn.run(ctx, out)
	case a.Traffic != nil:
		return a.Traffic.run(ctx, out)
	}
	return exitErrorf(ExitUsage, "report needs the subcommand burn or traffic")
}

func (a *reportBurn) run(ctx context.Context, out io.Writer) error {
	render := map[string]func(io.Writer, []burn.SeriesReport) error{
		"text": writeBurnText, "json": writeBurnJSON,
		"html": func(w io.Writer, list []burn.SeriesReport) error { return burn.Page(w, time.Now(), list) },
	}[a.Format]
	if render == nil {
		return exitErrorf(ExitUsage, "--format %q is not text, json or html", a.Format)
	}
	var lists [][]burn.SeriesReport
	for _, s := range a.Server {
		c := &adminClient{servers: []string{s}, key: a.Key, http: &http.Client{Timeout: adminTimeout}}
		resp, err := c.do(ctx, http.MethodGet, "burn?stale=1", nil, http.Header{})
		if err != nil {
			return err
		}
		var list []burn.SeriesReport
		if resp.StatusCode != http.StatusOK {
			defer resp.Body.Close()
			return responseError(resp)
		}
		err = json.NewDecoder(resp.Body).Decode(&list)
		resp.Body.Close()
		if err != nil {
			return errors.Annotatef(err, "burn of %s", s)
		}
		lists = append(lists, list)
	}
	merged := burn.Merge(lists)
	if a.Out == "" {
		return render(out, merged)
	}
	return writeFile(a.Out, func(w io.Writer) error { return render(w, merged) })
}

func writeBurnJSON(w io.Writer, list []burn.SeriesReport) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(list)
}

func writeBurnText(w io.Writer, list []burn.SeriesReport) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(tw, "customer\tservice\tobjective\ttarget\tleft")
	for _, d := range burn.Windows() {
		fmt.Fprintf(tw, "\t%s", d)
	}
	fmt.Fprintln(tw, "\tcauses")
	for _, l := range list {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%g\t%.1f%%", l.Customer, l.Service, l.Objective, l.Target, 100*l.Left)
		for _, s := range l.Spans {
			fmt.Fprintf(tw, "\t%.2f", s.Burn)
		}
		fmt.Fprintf(tw, "\t%v\n", l.Causes)
	}
	return tw.Flush()
}
