package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/emulate"
)

type emulateArgs struct {
	Plan string `arg:"--plan,required" help:"JSON file that lists the emulated engines and applications; see docs/EMULATOR.md"`
}

// emulatePlan lists the engines and applications that one process emulates.
type emulatePlan struct {
	KeyFile  string          `json:"keyfile"` // file with the upstream credential
	Platform string          `json:"platform"`
	Control  string          `json:"control"` // listen address for controlling the emulated engines
	Seed     uint64          `json:"seed"`
	Engines  []emulateEngine `json:"engines"`
	Apps     []emulateApp    `json:"apps"`
}

type emulateEngine struct {
	engine.Announcement
	Announce        []string       `json:"announce"`
	Faults          emulate.Faults `json:"faults"`
	Restart         string         `json:"restart"`
	Lag             string         `json:"lag"`
	TokenTimeFactor float64        `json:"slow"` // multiplies the time per token; 0 means 1
}

type emulateApp struct {
	engine.Announcement
	Announce []string `json:"announce"`
	Delay    string   `json:"delay"`
	Crash    string   `json:"crash"`   // text of requests that crash the application
	Restart  string   `json:"restart"` // after a crash
}

func (a *emulateArgs) run(ctx context.Context, out io.Writer) error {
	raw, err := os.ReadFile(a.Plan)
	if err != nil {
		return errors.Annotate(err, "read plan")
	}
	var plan emulatePlan
	if err := json.Unmarshal(raw, &plan); err != nil {
		return errors.Annotatef(err, "plan %s", a.Plan)
	}
	secret := ""
	if plan.KeyFile != "" {
		raw, err := os.ReadFile(plan.KeyFile)
		if err != nil {
			return errors.Annotate(err, "read upstream credential")
		}
		secret = strings.TrimSpace(string(raw))
	}
	if err := startEmulators(ctx, &plan, secret); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d engines, %d applications\n", len(plan.Engines), len(plan.Apps))
	<-ctx.Done()
	return nil
}

func startEmulators(ctx context.Context, plan *emulatePlan, secret string) error {
	weights := &emulate.WeightStore{LoadTime: time.Second}
	group := &emulate.Group{}
	for i, e := range plan.Engines {
		restart, err := parseOptionalDuration(e.Restart)
		if err != nil {
			return err
		}
		lag, err := parseOptionalDuration(e.Lag)
		if err != nil {
			return err
		}
		x := emulate.NewEngine(emulate.Options{
			Timing: emulate.DefaultTiming().Slowed(e.TokenTimeFactor), Announcement: e.Announcement, Announce: e.Announce, Credential: secret, Faults: e.Faults,
			Seed: plan.Seed + uint64(i), Restart: restart, Lag: lag, WeightStore: weights,
		})
		if err := x.Start(ctx); err != nil {
			return err
		}
		group.Engines = append(group.Engines, x)
	}
	if err := serveInBackground(plan.Control, group); err != nil {
		return err
	}
	runCounters := map[id.Service]*emulate.RunCounter{}
	for _, p := range plan.Apps {
		delay, err := parseOptionalDuration(p.Delay)
		if err != nil {
			return err
		}
		restart, err := parseOptionalDuration(p.Restart)
		if err != nil {
			return err
		}
		if runCounters[p.Service] == nil {
			runCounters[p.Service] = &emulate.RunCounter{}
		}
		x := &emulate.App{
			Announcement: p.Announcement, Announce: p.Announce, Credential: secret, RunCounter: runCounters[p.Service], Delay: delay,
			CrashText: p.Crash, Restart: restart,
		}
		if err := x.Start(ctx); err != nil {
			return err
		}
	}
	return serveInBackground(plan.Platform, &emulate.Platform{})
}

// serveInBackground serves h at address in a goroutine; an empty address disables it.
func serveInBackground(address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", address)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go srv.Serve(l)
	return nil
}

func parseOptionalDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	return d, errors.Annotate(err, "plan")
}
