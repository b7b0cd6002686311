package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/load"
)

// loadTrouble makes a load run an experiment: emulated engines get faults in its middle, and the result tells how fast the fleet
// recovers.
type loadTrouble struct {
	Control string        `arg:"--control" help:"control address of the emulator, http://host:port; with it engines have a trouble in the run"`
	Faults  string        `arg:"--faults" default:"{\"hang\":1}" help:"faults of the trouble, as in the emulator's plan"`
	Share   float64       `arg:"--share" default:"0.3" help:"share of the engines that have it"`
	At      time.Duration `arg:"--at" default:"8s" help:"when it begins"`
	For     time.Duration `arg:"--for" default:"4s" help:"how long it lasts"`
}

// check returns an error for a trouble that a run of the given length cannot hold.
func (t *loadTrouble) check(length time.Duration) error {
	switch {
	case t.Control == "":
		return nil
	case t.Share <= 0 || t.Share > 1:
		return exitErrorf(ExitUsage, "--share %g is not above 0 and at most 1", t.Share)
	case t.At <= 0 || t.For <= 0 || t.At+t.For >= length:
		return exitErrorf(ExitUsage, "a trouble at %s for %s does not end within --long %s", t.At, t.For, length)
	case !json.Valid([]byte(t.Faults)):
		return exitErrorf(ExitUsage, "--faults %s is not JSON", t.Faults)
	}
	return nil
}

// strike waits until the trouble is due and begins it. The returned channel gets the error.
func (t *loadTrouble) strike(ctx context.Context, seed uint64) <-chan error {
	done := make(chan error, 1)
	go func() {
		if !pause.For(ctx, t.At) {
			done <- ctx.Err()
			return
		}
		done <- t.post(ctx, seed)
	}()
	return done
}

func (t *loadTrouble) post(ctx context.Context, seed uint64) error {
	q := url.Values{"share": {strconv.FormatFloat(t.Share, 'g', -1, 64)}, "for": {t.For.String()}, "seed": {strconv.FormatUint(seed, 10)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.Control+"/trouble?"+q.Encode(), strings.NewReader(t.Faults))
	if err != nil {
		return errors.Annotate(err, "build request")
	}
	resp, err := (&http.Client{Timeout: adminTimeout}).Do(r)
	if err != nil {
		return errors.Annotate(err, "begin trouble")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return errors.Annotate(err, "begin trouble")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("begin trouble: status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	klog.InfoS("Trouble begun", "answer", string(text))
	return nil
}

// judge adds the recovery from the trouble to the result.
func (t *loadTrouble) judge(opt *load.Options, result *load.Result, outcomes []load.Outcome, length time.Duration) {
	result.AddRecovery(load.Recover(opt, outcomes, t.At, t.At+t.For, length))
}
