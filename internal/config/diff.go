package config

import (
	"fmt"
	"slices"
	"strings"
)

// Change is a value that differs between two settings. An empty text is one that is not set.
type Change struct {
	Path       string `json:"key"`
	From, To   string
	Reloadable bool `json:"live"` // SIGHUP has it take effect
}

func (c Change) String() string {
	say := func(text string) string {
		if text == "" {
			return "(not set)"
		}
		return text
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, say(c.From), say(c.To))
}

// Diff lists what differs in effect between two settings, in the order of their keys.
func Diff(from, to []Value) []Change {
	was := make(map[string]Value)
	for _, v := range from {
		was[v.Path] = v
	}
	var out []Change
	for _, v := range to {
		if old, ok := was[v.Path]; !ok || old.Text != v.Text {
			out = append(out, Change{v.Path, old.Text, v.Text, v.Reloadable})
		}
		delete(was, v.Path)
	}
	for _, v := range from {
		if _, ok := was[v.Path]; ok {
			out = append(out, Change{v.Path, v.Text, "", v.Reloadable})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return strings.Compare(x.Path, y.Path) })
	return out
}
