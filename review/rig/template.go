//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
)

// render fills a template of deploy/ as DEPLOY.md describes it: values, sections, inverted sections, the
// entry of a list and the comma between entries.
func render(text string, scopes ...any) string {
	var out strings.Builder
	for {
		open := strings.Index(text, "{{")
		if open < 0 {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:open])
		end := strings.Index(text[open:], "}}") + open
		name := text[open+2 : end]
		text = text[end+2:]
		if name[0] != '#' && name[0] != '^' {
			out.WriteString(show(find(name, scopes)))
			continue
		}
		closing := "{{/" + name[1:] + "}}"
		stop := strings.Index(text, closing)
		body := text[:stop]
		text = text[stop+len(closing):]
		value := find(name[1:], scopes)
		list, isList := value.([]string)
		given := value != nil && value != false && (!isList || len(list) > 0)
		switch {
		case name[0] == '^' && !given:
			out.WriteString(render(body, scopes...))
		case name[0] == '#' && isList:
			for i, each := range list {
				comma := ","
				if i == len(list)-1 {
					comma = ""
				}
				out.WriteString(render(strings.ReplaceAll(body, "{{,}}", comma), append([]any{each}, scopes...)...))
			}
		case name[0] == '#' && given:
			out.WriteString(render(body, append([]any{value}, scopes...)...))
		}
	}
}

func find(name string, scopes []any) any {
	if name == "." {
		return scopes[0]
	}
	for _, scope := range scopes {
		value := scope
		for _, step := range strings.Split(name, ".") {
			switch at := value.(type) {
			case map[string]any:
				value = at[step]
			case []string:
				i, err := strconv.Atoi(step)
				if err != nil || i >= len(at) {
					return nil
				}
				value = at[i]
			default:
				value = nil
			}
		}
		if value != nil {
			return value
		}
	}
	return nil
}

func show(value any) string {
	switch value := value.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(value, ",")
	}
	return fmt.Sprint(value)
}
