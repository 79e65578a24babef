package main

import (
	"log/slog"
	"strings"
	"testing"
)

func TestLogLevelComesFromFlagThenEnvironment(t *testing.T) {
	for _, c := range []struct {
		args   []string
		env    string
		want   slog.Level
		refuse string
	}{
		{nil, "", slog.LevelInfo, ""},
		{nil, "debug", slog.LevelDebug, ""},
		{[]string{"-log-level", "warn"}, "debug", slog.LevelWarn, ""},
		{[]string{"-log-level", "loud"}, "", 0, `log level "loud"`},
		{nil, "loud", 0, `log level "loud"`},
		{[]string{"extra"}, "", 0, `unknown argument "extra"`},
	} {
		var out strings.Builder
		opts, err := parseArguments(c.args, func(string) string { return c.env }, &out)
		switch {
		case c.refuse != "":
			if err == nil || !strings.Contains(out.String(), c.refuse) {
				t.Errorf("%v %q: %v, %q", c.args, c.env, err, out.String())
			}
		case err != nil || opts.logLevel != c.want:
			t.Errorf("%v %q: %v %v", c.args, c.env, opts, err)
		}
	}
}
