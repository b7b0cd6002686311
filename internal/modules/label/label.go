// Package label writes the values of metric labels.
package label

import "strings"

// The escapes of the Prometheus text format. A carriage return has none; like a line feed it would end the line for some readers.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\r", `\n`)

// Quote returns v as a quoted label value. Names of services and customers come from operators and may hold any character.
func Quote(v string) string { return `"` + escaper.Replace(v) + `"` }
