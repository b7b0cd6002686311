package cmd

import (
	"encoding/json"
	"fmt"
	"io"

	"wagtaillift/internal/modules/setting"
)

type configArgs struct {
	Check *configFile `arg:"subcommand:check" help:"check a settings file"`
	Print *configFile `arg:"subcommand:print" help:"print the settings of a file with all defaults filled in"`
}

type configFile struct {
	File string `arg:"positional,required" help:"settings file"`
}

func (a *configArgs) run(out io.Writer) error {
	switch {
	case a.Check != nil:
		if _, err := setting.Load(a.Check.File); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: ok\n", a.Check.File)
		return nil
	case a.Print != nil:
		cfg, err := setting.Load(a.Print.File)
		if err != nil {
			return err
		}
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(cfg)
	}
	return exitErrorf(ExitUsage, "config needs the subcommand check or print")
}
