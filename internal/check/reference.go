package check

import (
	"fmt"
	"strings"

	"barleydrum.example/barleydrum/internal/config"
)

// Reference is the reference page of the operators' file: its keys and the rules that it is
// checked for, in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString(`# Reference: the operators' file

This page is written by ` + "`drumctl config reference`" + ` from the program's own schema and rules; a
test proves that it is what that prints. ` + "`drumctl config reference --template`" + ` prints a file with
every key. How the file is used is told in [configure.md](configure.md).

The file is TOML, at most ` + config.Size(config.MaxSettingsBytes).String() + `, UTF-8. Times are strings with a unit
("1540ms", "10s", "1m30s"), sizes too ("64KiB", "1MiB", "500kB"). A key that is unknown, given
twice, of another type or out of range is refused.

## Keys

"Read" tells when a change takes effect: at SIGHUP, or at a restart.

`)
	b.WriteString(config.KeyReference())
	b.WriteString("\n## Rules\n\nA refused file is not run with; a warning is legal and unwise.\n")
	for _, level := range []config.Level{config.LevelRefused, config.LevelWarning} {
		fmt.Fprintf(&b, "\n### %s\n\n| rule | guards | found | reason | mend |\n| --- | --- | --- | --- | --- |\n",
			map[config.Level]string{config.LevelRefused: "Refused", config.LevelWarning: "Warnings"}[level])
		for _, r := range Rules {
			if r.Level == level {
				fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", r.ID, r.Protects, r.Condition, r.Reason, r.Fix)
			}
		}
	}
	return b.String()
}

// Template is an operators' file with every key as a comment, and one class.
func Template() []byte {
	s := config.DefaultSettings()
	s.Application.Name = "order-front"
	s.Classes = map[string]*config.Class{"place-order": {}}
	return config.FormatSettings(s)
}
