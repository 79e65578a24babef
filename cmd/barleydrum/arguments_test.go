package main

import (
	"log/slog"
	"strings"
	"testing"
)

// The log level comes from -log-level, else from BARLEYDRUM_LOG_LEVEL, else it is info. Any other
// level and any further argument must be refused with a message that quotes it.
func TestLogLevelComesFromFlagThenEnvironment(t *testing.T) {
	for _, c := range []struct {
		args    []string
		env     string
		want    slog.Level
		wantErr string
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
		case c.wantErr != "":
			if err == nil || !strings.Contains(out.String(), c.wantErr) {
				t.Errorf("%v %q: %v, %q", c.args, c.env, err, out.String())
			}
		case err != nil || opts.logLevel != c.want:
			t.Errorf("%v %q: %v %v", c.args, c.env, opts, err)
		}
	}
}
