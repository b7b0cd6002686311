package cmd

import (
	"context"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// endingRunner is a VM that ends with an error.
type endingRunner struct{ err error }

func (r endingRunner) Run(context.Context) error { return r.err }

// A full disk ends the VM and not the process; other errors end both.
func TestRunThroughFullDisks(t *testing.T) {
	full := errors.Annotate(errors.WithType(syscall.ENOSPC, errors.ConstError("write")), "replica")
	broken := errors.New("the log is damaged")
	list := []error{full, full, broken}
	err := runThroughFullDisks(t.Context(), t.TempDir(), func() (runner, error) {
		r := endingRunner{list[0]}
		list = list[1:]
		return r, nil
	})
	require.ErrorIs(t, err, broken)
	require.Empty(t, list)
}
