// Package cmd implements the command line, one file per subcommand.
package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/asynclog"
)

// Exit codes. Scripts rely on them.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3 // the configuration changed since the base revision
	ExitMissing  = 4
	ExitDenied   = 5
	ExitNoQuorum = 6 // nothing was changed, or the current state could not be read
	ExitPending  = 7 // accepted, but not yet applied on every VM
)

type arguments struct {
	Serve   *serveArgs   `arg:"subcommand:serve" help:"run one VM"`
	Found   *foundArgs   `arg:"subcommand:found" help:"create a new fleet's state in a VM's data folder"`
	Admin   *adminArgs   `arg:"subcommand:admin" help:"read and change the fleet's configuration"`
	Cert    *certArgs    `arg:"subcommand:cert" help:"create the fleet's certificate authority and VM certificates"`
	Config  *configArgs  `arg:"subcommand:config" help:"check or print a settings file"`
	Emulate *emulateArgs `arg:"subcommand:emulate" help:"emulate engines, applications and the platform"`
	Load    *loadArgs    `arg:"subcommand:load" help:"generate load and measure the answers"`
	Report  *reportArgs  `arg:"subcommand:report" help:"report on service levels"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "wagtaillift serves language models and plain services from a limited fleet of upstreams."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 not found, 5 denied, 6 no quorum, 7 accepted but pending."
}

// exitError is an error with a specific exit code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// exitErrorf returns an error that ends the process with the given exit code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// Main parses the command line, runs the subcommand and returns the exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var args arguments
	p, err := arg.NewParser(arg.Config{Program: "wagtaillift", Out: stdout, Exit: func(int) {}}, &args)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return ExitOK
	case err != nil:
		p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, p, &args, stdout); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		var e *exitError
		if errors.As(err, &e) {
			return e.code
		}
		return ExitFailed
	}
	return ExitOK
}

func run(ctx context.Context, p *arg.Parser, args *arguments, out io.Writer) error {
	switch {
	case args.Serve != nil:
		return args.Serve.run(ctx, out)
	case args.Found != nil:
		return args.Found.run(out)
	case args.Admin != nil:
		return args.Admin.run(ctx, out)
	case args.Cert != nil:
		return args.Cert.run(out)
	case args.Config != nil:
		return args.Config.run(out)
	case args.Emulate != nil:
		return args.Emulate.run(ctx, out)
	case args.Load != nil:
		return args.Load.run(ctx, out)
	case args.Report != nil:
		return args.Report.run(ctx, out)
	}
	p.WriteHelp(out)
	return exitErrorf(ExitUsage, "a subcommand is required")
}

// configureLog sets the log verbosity and sends the log to standard output only. The process outlives the reader of its log.
func configureLog(verbosity int) {
	signal.Ignore(syscall.SIGPIPE)
	var fs flag.FlagSet
	klog.InitFlags(&fs)
	fs.Set("v", fmt.Sprint(verbosity))
	fs.Set("logtostderr", "false")
	fs.Set("alsologtostderr", "false")
	fs.Set("stderrthreshold", "FATAL")
	fs.Set("one_output", "true")
	klog.SetOutput(asynclog.New(os.Stdout))
}
