package config

import (
	"fmt"
	"slices"
	"strings"
)

// Change is a value that differs between two configurations. From and To are the values as the
// file writes them; an empty text is a value that is not set.
type Change struct {
	Path       string `json:"key"`
	From, To   string
	Reloadable bool `json:"live"` // it takes effect at SIGHUP
}

// String returns the change in one line: "PATH: FROM -> TO".
func (c Change) String() string {
	orNotSet := func(text string) string {
		if text == "" {
			return "(not set)"
		}
		return text
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, orNotSet(c.From), orNotSet(c.To))
}

// Diff returns the values that differ between two configurations, ordered by path.
func Diff(from, to []Value) []Change {
	unmatched := make(map[string]Value)
	for _, v := range from {
		unmatched[v.Path] = v
	}
	var changes []Change
	for _, v := range to {
		if previous, ok := unmatched[v.Path]; !ok || previous.Text != v.Text {
			changes = append(changes, Change{v.Path, previous.Text, v.Text, v.Reloadable})
		}
		delete(unmatched, v.Path)
	}
	for _, v := range from {
		if _, ok := unmatched[v.Path]; ok {
			changes = append(changes, Change{v.Path, v.Text, "", v.Reloadable})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.Path, y.Path) })
	return changes
}
