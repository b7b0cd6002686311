package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripts by name. They return whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"departure":             departure,
	"planned-replacement":   plannedReplacement,
	"unplanned-replacement": unplannedReplacement,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		return failed
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.Close()
	f, err := newFleet(record, 3, 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.close()
	isBroken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.logf("not run: %v", err)
		fmt.Println("not run:", err)
		return failed
	case isBroken:
		f.logf("the rule is broken")
		return broken
	}
	f.logf("the rule held")
	return held
}
