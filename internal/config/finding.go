package config

import (
	"fmt"
	"strings"
)

// Level is the severity of a finding.
type Level string

// The levels. The program does not run with a file that is refused; a warning is for values that
// are valid but unwise.
const (
	LevelRefused Level = "refused"
	LevelWarning Level = "warning"
)

// Position is a line and a column in a file, both counted from 1; 0 means that there is none.
// Columns count bytes.
type Position struct {
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// Finding is an error or a warning about a configuration.
type Finding struct {
	Rule     string `json:"rule"` // identifier of the rule, see the reference page
	Level    Level  `json:"level"`
	File     string `json:"file,omitempty"`
	Position        // of the key or value at fault, if it stands in the file
	Key      string `json:"key,omitempty"`
	Found    string `json:"found,omitempty"`
	Allowed  string `json:"allowed,omitempty"`
	Reason   string `json:"reason,omitempty"` // what would go wrong, or the parser's message on a syntax error
	Fix      string `json:"mend,omitempty"`   // how to correct the configuration
}

// String returns the finding in one line, in the form of a compiler's message.
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

// HasRefusal reports whether any of the findings refuses the configuration.
func HasRefusal(findings []Finding) bool {
	for _, f := range findings {
		if f.Level == LevelRefused {
			return true
		}
	}
	return false
}

// The rules for reading a file and its single values. internal/check has those on how values fit
// together.
const (
	RuleUnreadable      = "unreadable"     // the file can't be opened, is too long, or changes while it is read
	RuleSyntax          = "syntax"         // the text is not valid TOML, or not valid JSON
	RuleUnknownKey      = "unknown-key"    // a key is not in the schema
	RuleWrongType       = "wrong-type"     // a value has another type than its key requires
	RuleDuplicate       = "duplicate"      // a key, a table or an element of a list is given twice
	RuleOutOfRange      = "out-of-range"   // a value is not among those allowed
	RuleMissingKey      = "missing-key"    // a required key is not given
	RuleSchemaVersion   = "schema-version" // the file is written for a newer version of the program
	RuleInvalidPlatform = "platform"       // a platform's configuration has a value that can't be used
)
