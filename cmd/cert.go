package cmd

import (
	"fmt"
	"io"
	"time"

	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
)

type certArgs struct {
	CA *certCA `arg:"subcommand:ca" help:"create the fleet's certificate authority"`
	VM *certVM `arg:"subcommand:vm" help:"create or renew the certificate of one VM"`
}

type certCA struct {
	Folder string        `arg:"--folder,required" help:"folder to write into"`
	Fleet  string        `arg:"--fleet,required" help:"name of the fleet"`
	Life   time.Duration `arg:"--life" default:"87600h" help:"validity"`
}

type certVM struct {
	CA     string        `arg:"--ca,required" help:"folder of the fleet's certificate authority"`
	Folder string        `arg:"--folder,required" help:"folder to write into"`
	VM     string        `arg:"--vm,required" help:"name of the VM"`
	Zone   string        `arg:"--zone,required" help:"data centre of the VM"`
	Life   time.Duration `arg:"--life" default:"2160h" help:"validity"`
}

func (a *certArgs) run(out io.Writer) error {
	switch {
	case a.CA != nil:
		if err := cert.NewCA(a.CA.Folder, a.CA.Fleet, time.Now(), a.CA.Life); err != nil {
			return err
		}
		fmt.Fprintf(out, "certificate authority of fleet %s written to %s\n", a.CA.Fleet, a.CA.Folder)
		return nil
	case a.VM != nil:
		if err := cert.NewVM(a.VM.CA, a.VM.Folder, id.VM(a.VM.VM), id.Zone(a.VM.Zone), time.Now(), a.VM.Life); err != nil {
			return err
		}
		fmt.Fprintf(out, "certificate of %s written to %s\n", a.VM.VM, a.VM.Folder)
		return nil
	}
	return exitErrorf(ExitUsage, "cert needs the subcommand ca or vm")
}
