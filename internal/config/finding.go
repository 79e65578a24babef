package config

import (
	"fmt"
	"strings"
)

// Level says what a finding means.
type Level string

// The levels. A file with a refusal is not run with; a warning is legal and unwise.
const (
	LevelRefused Level = "refused"
	LevelWarning Level = "warning"
)

// Position is a place in a file, from 1; 0 is none. Columns count bytes.
type Position struct {
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// Finding is something wrong with a configuration.
type Finding struct {
	Rule     string `json:"rule"` // its identifier, see the reference
	Level    Level  `json:"level"`
	File     string `json:"file,omitempty"`
	Position        // where, in a file that has lines to name
	Key      string `json:"key,omitempty"`
	Found    string `json:"found,omitempty"`
	Allowed  string `json:"allowed,omitempty"`
	Reason   string `json:"reason,omitempty"` // what would go wrong
	Fix      string `json:"mend,omitempty"`   // what to do
}

// String is the finding in a line, as a compiler would write it.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
		}
		b.WriteString(": ")
	}
	fmt.Fprintf(&b, "%s [%s]", f.Level, f.Rule)
	for _, part := range []struct{ before, text string }{
		{" ", f.Key}, {": found ", f.Found}, {"; allowed: ", f.Allowed}, {"; ", f.Reason}, {"; mend: ", f.Fix},
	} {
		if part.text != "" {
			b.WriteString(part.before + part.text)
		}
	}
	return b.String()
}

// HasRefusal tells whether a file with these findings is refused.
func HasRefusal(findings []Finding) bool {
	for _, f := range findings {
		if f.Level == LevelRefused {
			return true
		}
	}
	return false
}

// The rules of reading a file. Those of what it says are internal/check's.
const (
	RuleUnreadable      = "unreadable"     // the file can't be opened, is too long, or changes as it is read
	RuleSyntax          = "syntax"         // it is not TOML, or not JSON
	RuleUnknownKey      = "unknown-key"    // it has a key that means nothing
	RuleWrongType       = "wrong-type"     // a value is of another type than its key's
	RuleDuplicate       = "duplicate"      // a key, a table or an element of a list is given twice
	RuleOutOfRange      = "out-of-range"   // a value is not among those allowed
	RuleMissingKey      = "missing-key"    // a key is left out that is needed
	RuleSchemaVersion   = "schema-version" // the file is written for another version of the program
	RuleInvalidPlatform = "platform"       // a platform's configuration has a value that can't be used
)
