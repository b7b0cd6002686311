package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/services/load"
)

type loadArgs struct {
	loadTrouble
	Targets      []string      `arg:"--target,separate,required" help:"base URL of a VM's listener for callers; may be given more than once"`
	Model        string        `arg:"--model" default:"verdict"`
	App          string        `arg:"--app" default:"booking"`
	Customers    []string      `arg:"--customer,separate,required" help:"NAME=KEY or NAME=KEY@WEIGHT"`
	Seed         uint64        `arg:"--seed" default:"1"`
	Rate         float64       `arg:"--rate" default:"10" help:"requests per second"`
	Duration     time.Duration `arg:"--long" default:"10s"`
	Prompt       int           `arg:"--prompt" default:"400" help:"mean prompt tokens"`
	Output       int           `arg:"--output" default:"40" help:"mean output tokens"`
	ShiftMix     bool          `arg:"--shift" help:"halve the prompt tokens and double the output tokens in the second half"`
	Surge        string        `arg:"--surge" help:"customer that sends six times its rate in the second half"`
	BookingShare float64       `arg:"--bookings" default:"0.1" help:"fraction of the requests that are bookings"`
	Deadline     time.Duration `arg:"--deadline" default:"30s"`
	TracePath    string        `arg:"--trace" help:"read the arrivals from this file"`
	SavePath     string        `arg:"--save" help:"write the arrivals to this file"`
	JSON         string        `arg:"--json" help:"write the result to this file"`
	CSV          string        `arg:"--csv" help:"write the outcomes to this file"`
	Plot         string        `arg:"--plot" help:"write a plot to this PNG file"`
	FigurePrefix string        `arg:"--prefix" help:"prefix for the name of each printed metric"`
}

// surgeFactor multiplies the rate of a surging customer.
const surgeFactor = 6

func (a *loadArgs) run(ctx context.Context, out io.Writer) error {
	opt := load.Options{
		Targets: a.Targets, Model: a.Model, App: a.App, Deadline: a.Deadline, Surge: a.Surge,
		FirstToken: 640 * time.Millisecond, TokenGap: 34 * time.Millisecond, MaxResends: 20,
	}
	for _, c := range a.Customers {
		cust, err := parseCustomer(c, len(a.Customers))
		if err != nil {
			return err
		}
		opt.Customers = append(opt.Customers, cust)
	}
	if err := a.check(a.Duration); err != nil {
		return err
	}
	arrivals, err := a.arrivals(opt.Customers)
	if err != nil {
		return err
	}
	start := time.Now()
	var struck <-chan error
	if a.Control != "" {
		struck = a.strike(ctx, a.Seed)
	}
	outcomes := load.Run(ctx, opt, arrivals)
	elapsed := time.Since(start)
	result := load.Summarize(&opt, outcomes, elapsed)
	if struck != nil {
		if err := <-struck; err != nil {
			return err
		}
		a.judge(&opt, &result, outcomes, a.Duration)
	}
	result.WriteLines(out, a.FigurePrefix)
	return a.writeResults(result, outcomes)
}

func parseCustomer(s string, n int) (load.Customer, error) {
	name, rest, ok := strings.Cut(s, "=")
	key, weight, weighted := strings.Cut(rest, "@")
	c := load.Customer{Name: name, Key: key, Weight: 1 / float64(n)}
	if !ok {
		return c, exitErrorf(ExitUsage, "--customer %q is not NAME=KEY", s)
	}
	if weighted {
		if _, err := fmt.Sscanf(weight, "%g", &c.Weight); err != nil {
			return c, exitErrorf(ExitUsage, "--customer weight %q is not a number", weight)
		}
	}
	return c, nil
}

func (a *loadArgs) arrivals(customers []load.Customer) ([]load.Arrival, error) {
	if a.TracePath != "" {
		f, err := os.Open(a.TracePath)
		if err != nil {
			return nil, errors.Annotate(err, "open trace")
		}
		defer f.Close()
		return load.ReadPlan(f)
	}
	first := load.Phase{Name: "first", Duration: a.Duration / 2, Rate: a.Rate, Mix: load.Mix{Prompt: a.Prompt, Output: a.Output}}
	second := first
	second.Name = "second"
	if a.ShiftMix {
		second.Mix = load.Mix{Prompt: a.Prompt / 2, Output: a.Output * 2}
	}
	if a.Surge != "" {
		second.Surge, second.SurgeFactor = a.Surge, surgeFactor
	}
	arrivals := load.Plan(a.Seed, []load.Phase{first, second}, customers, a.BookingShare)
	if a.SavePath == "" {
		return arrivals, nil
	}
	f, err := os.Create(a.SavePath)
	if err != nil {
		return nil, errors.Annotate(err, "create trace")
	}
	defer f.Close()
	return arrivals, load.WritePlan(f, arrivals)
}

func (a *loadArgs) writeResults(result load.Result, outcomes []load.Outcome) error {
	if a.JSON != "" {
		data, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return errors.Annotate(err, "encode result")
		}
		if err := os.WriteFile(a.JSON, data, 0o644); err != nil {
			return errors.Annotate(err, "write result")
		}
	}
	if a.CSV != "" {
		if err := writeFile(a.CSV, func(w io.Writer) error { return load.WriteCSV(w, outcomes) }); err != nil {
			return err
		}
	}
	if a.Plot != "" {
		return writeFile(a.Plot, func(w io.Writer) error { return load.Plot(w, outcomes) })
	}
	return nil
}

func writeFile(path string, f func(w io.Writer) error) error {
	out, err := os.Create(path)
	if err != nil {
		return errors.Annotate(err, "create file")
	}
	if err := f(out); err != nil {
		out.Close()
		return err
	}
	return errors.Annotate(out.Close(), "close file")
}
