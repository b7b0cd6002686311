// Command wagtaillift serves language models and plain services from a limited fleet of upstreams.
package main

import (
	"os"

	"wagtaillift/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
