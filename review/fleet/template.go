package fleet

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var sectionStart = regexp.MustCompile(`\{\{([#^])([\w.]+)\}\}`)

// render fills the fields into a settings template, as the platform does: values, lists, and sections for each entry of a
// list, or once if a value is present or missing.
func render(text string, scope any) string {
	for {
		at := sectionStart.FindStringSubmatchIndex(text)
		if at == nil {
			return fillValues(text, scope, "")
		}
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		end := "{{/" + name + "}}"
		length := strings.Index(text[at[1]:], end)
		if length < 0 {
			panic("section " + name + " of the settings template has no end")
		}
		inner := text[at[1] : at[1]+length]
		text = text[:at[0]] + renderSection(kind, inner, lookup(scope, name), scope) + text[at[1]+length+len(end):]
	}
}

func renderSection(kind, inner string, v, scope any) string {
	list, isList := v.([]any)
	present := v != nil && v != false && (!isList || len(list) > 0)
	switch {
	case kind == "^" && present, kind == "#" && !present:
		return ""
	case kind == "^":
		return render(inner, scope)
	case !isList:
		return fillValues(inner, v, "")
	}
	var out strings.Builder
	for i, e := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(fillValues(inner, e, comma))
	}
	return out.String()
}

var placeholder = regexp.MustCompile(`\{\{([\w.,]+)(\|json)?\}\}`)

func fillValues(text string, scope any, comma string) string {
	return placeholder.ReplaceAllStringFunc(text, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		if m[1] == "," {
			return comma
		}
		v := lookup(scope, m[1])
		if m[2] != "" {
			data, err := json.Marshal(v)
			if err != nil {
				panic(err)
			}
			return string(data)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

// lookup returns the value at a dotted path, and nil if there is none.
func lookup(scope any, path string) any {
	if path == "." {
		return scope
	}
	for name := range strings.SplitSeq(path, ".") {
		switch s := scope.(type) {
		case map[string]any:
			scope = s[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(s) {
				return nil
			}
			scope = s[i]
		default:
			return nil
		}
	}
	return scope
}
