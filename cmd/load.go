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
	Targets   []string      `arg:"--target,separate,required" help:"base URL of a callers' listener; may be given more than once"`
	Model     string        `arg:"--model" default:"verdict"`
	App       string        `arg:"--app" default:"booking"`
	Customers []string      `arg:"--customer,separate,required" help:"NAME=KEY or NAME=KEY@WEIGHT"`
	Seed      uint64        `arg:"--seed" default:"1"`
	Rate      float64       `arg:"--rate" default:"10" help:"requests a second"`
	Long      time.Duration `arg:"--long" default:"10s"`
	Prompt    int           `arg:"--prompt" default:"400" help:"mean prompt tokens"`
	Output    int           `arg:"--output" default:"40" help:"mean output tokens"`
	Shift     bool          `arg:"--shift" help:"swap half of the prompt work for output work in the second half"`
	Surge     string        `arg:"--surge" help:"customer that sends six times its rate in the second half"`
	Bookings  float64       `arg:"--bookings" default:"0.1" help:"part of the requests that are bookings"`
	Deadline  time.Duration `arg:"--deadline" default:"30s"`
	Trace     string        `arg:"--trace" help:"read the arrivals from this file"`
	Save      string        `arg:"--save" help:"write the arrivals to this file"`
	JSON      string        `arg:"--json" help:"write the result to this file"`
	CSV       string        `arg:"--csv" help:"write the outcomes to this file"`
	Plot      string        `arg:"--plot" help:"write a plot to this PNG file"`
	Prefix    string        `arg:"--prefix" help:"put before the name of each figure"`
}

// surgeTimes is how many times its rate a surging customer sends.
const surgeTimes = 6

func (a *loadArgs) run(ctx context.Context, out io.Writer) error {
	opt := load.Options{
		Targets: a.Targets, Model: a.Model, App: a.App, Deadline: a.Deadline, Surge: a.Surge,
		First: 640 * time.Millisecond, Gap: 34 * time.Millisecond, Resend: 20,
	}
	for _, c := range a.Customers {
		cust, err := parseCustomer(c, len(a.Customers))
		if err != nil {
			return err
		}
		opt.Customers = append(opt.Customers, cust)
	}
	plan, err := a.plan(opt.Customers)
	if err != nil {
		return err
	}
	start := time.Now()
	list := load.Run(ctx, opt, plan)
	span := time.Since(start)
	result := load.Sum(&opt, list, span)
	result.WriteLines(out, a.Prefix)
	return a.save(result, list)
}

func parseCustomer(s string, n int) (load.Customer, error) {
	name, rest, ok := strings.Cut(s, "=")
	key, weight, weighted := strings.Cut(rest, "@")
	c := load.Customer{Name: name, Key: key, Weight: 1 / float64(n)}
	if !ok {
		return c, exit(ExitUsage, "--customer %q is not NAME=KEY", s)
	}
	if weighted {
		if _, err := fmt.Sscanf(weight, "%g", &c.Weight); err != nil {
			return c, exit(ExitUsage, "--customer weight %q is not a number", weight)
		}
	}
	return c, nil
}

func (a *loadArgs) plan(customers []load.Customer) ([]load.Arrival, error) {
	if a.Trace != "" {
		f, err := os.Open(a.Trace)
		if err != nil {
			return nil, errors.Annotate(err, "open trace")
		}
		defer f.Close()
		return load.ReadPlan(f)
	}
	first := load.Phase{Name: "first", Long: a.Long / 2, Rate: a.Rate, Mix: load.Mix{Prompt: a.Prompt, Output: a.Output}}
	second := first
	second.Name = "second"
	if a.Shift {
		second.Mix = load.Mix{Prompt: a.Prompt / 2, Output: a.Output * 2}
	}
	if a.Surge != "" {
		second.Surge, second.Times = a.Surge, surgeTimes
	}
	plan := load.Plan(a.Seed, []load.Phase{first, second}, customers, a.Bookings)
	if a.Save == "" {
		return plan, nil
	}
	f, err := os.Create(a.Save)
	if err != nil {
		return nil, errors.Annotate(err, "create trace")
	}
	defer f.Close()
	return plan, load.WritePlan(f, plan)
}

func (a *loadArgs) save(result load.Result, list []load.Outcome) error {
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
		if err := writeTo(a.CSV, func(w io.Writer) error { return load.WriteCSV(w, list) }); err != nil {
			return err
		}
	}
	if a.Plot != "" {
		return writeTo(a.Plot, func(w io.Writer) error { return load.Plot(w, list) })
	}
	return nil
}

func writeTo(path string, f func(w io.Writer) error) error {
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
