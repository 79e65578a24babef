package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"barleydrum.example/barleydrum/internal/check"
	"barleydrum.example/barleydrum/internal/config"
)

func writeCommand() *cobra.Command {
	var tier, listen, discovery, zone, file string
	var calls, zones, classes, sets []string
	var sidecars, number int
	var force bool
	c := &cobra.Command{
		Use:   "write APP",
		Short: "Write a commented file for one application from a short description",
		Long: `Write an operators' file for the application APP, with a comment on each key.

A class is described as NAME,KEY=VALUE,... with the keys of [class.NAME]. With --listen and
--discovery the file says all that a sidecar needs; without them it is for use beside a
platform's configuration. Where they are left out, connect_time, probe.time, and a class's
attempts and retry_within are chosen so that they fit in the classes' times. What check would
refuse is not written.`,
		Example: `  drumctl config write order-front --calls order-check \
      --listen 127.0.0.1:9000 --discovery 127.0.0.1:8500 \
      --class place-order,wanted=1540ms,deadline=3850ms,semantics=keyed,scope=all,repeat-window=10s`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var b strings.Builder
			fmt.Fprintf(&b, "schema = %d\n[application]\nname = %q\n", config.SchemaVersion, args[0])
			if tier == "" {
				tier = args[0]
			}
			text := func(key, value string) {
				if value != "" {
					fmt.Fprintf(&b, "%s = %q\n", key, value)
				}
			}
			list := func(key string, values []string) {
				if len(values) > 0 {
					fmt.Fprintf(&b, "%s = [%s]\n", key, quoteAll(values))
				}
			}
			text("tier", tier)
			list("calls", calls)
			text("listen", listen)
			text("discovery", discovery)
			if zone != "" || len(zones) > 0 || sidecars > 0 || number > 0 {
				b.WriteString("[fleet]\n")
				text("zone", zone)
				list("zones", zones)
				if sidecars > 0 {
					fmt.Fprintf(&b, "sidecars = %d\n", sidecars)
				}
				if number > 0 {
					fmt.Fprintf(&b, "number = %d\n", number)
				}
			}
			more, err := settingsTOML(sets)
			if err != nil {
				return err
			}
			b.WriteString(more)
			parts := make([]string, len(classes))
			for i, class := range classes {
				var err error
				if parts[i], err = classTOML(class); err != nil {
					return err
				}
			}
			// What was left out is chosen by the times that the classes were given.
			s, findings := config.ParseSettings("", []byte(b.String()+strings.Join(parts, "")))
			if len(findings) == 0 {
				var chosen string
				chosen, parts = fillClassDefaults(s, classes, parts)
				b.WriteString(chosen)
			}
			b.WriteString(strings.Join(parts, ""))
			if len(findings) == 0 {
				s, findings = config.ParseSettings("", []byte(b.String()))
			}
			if len(findings) == 0 {
				findings = check.Deployment([]check.File{{Text: []byte(b.String())}})
			}
			if config.HasRefusal(findings) {
				for i := range findings { // lines of a text that nobody has seen
					findings[i].Position = config.Position{}
				}
				return printFindings(c.ErrOrStderr(), "text", 1, findings)
			}
			if file == "" {
				_, err := c.OutOrStdout().Write(config.FormatSettings(s))
				return err
			}
			return writeFile(file, config.FormatSettings(s), force)
		},
	}
	f := c.Flags()
	f.StringVar(&tier, "tier", "", "the tier whose endpoints the sidecar sends to (default APP)")
	f.StringSliceVar(&calls, "calls", nil, "the tiers that this tier's endpoints call")
	f.StringVar(&listen, "listen", "", "where callers connect, HOST:PORT")
	f.StringVar(&discovery, "discovery", "", "where discovery is, HOST:PORT")
	f.StringVar(&zone, "zone", "", "the server room")
	f.StringSliceVar(&zones, "zones", nil, "all server rooms")
	f.IntVar(&sidecars, "sidecars", 0, "how many sidecars send to the tier")
	f.IntVar(&number, "number", 0, "this sidecar's number among them, from 0")
	f.StringArrayVar(&classes, "class", nil, "a class, as NAME,KEY=VALUE,...; once for each")
	f.StringArrayVar(&sets, "set", nil, "a further key, as PART.KEY=VALUE; once for each. Parts: "+strings.Join(settableTables, ", "))
	f.StringVarP(&file, "file", "f", "", "the file to write (default standard output)")
	f.BoolVar(&force, "force", false, "replace the file")
	return c
}

func quoteAll(values []string) string {
	quoted := make([]string, len(values))
	for i, v := range values {
		quoted[i] = fmt.Sprintf("%q", v)
	}
	return strings.Join(quoted, ", ")
}

// settableTables are the parts whose keys --set takes: no other flag writes into them.
var settableTables = []string{"callers", "streams", "discovery", "shutdown", "limits"}

// settingsTOML turns texts PART.KEY=VALUE into parts of TOML.
func settingsTOML(sets []string) (string, error) {
	parts := make(map[string]string)
	for _, text := range sets {
		path, value, ok := strings.Cut(text, "=")
		part, _, dotted := strings.Cut(path, ".")
		if !ok || !dotted || !slices.Contains(settableTables, part) {
			return "", fmt.Errorf("--set %q: not PART.KEY=VALUE with a part of %s", text, strings.Join(settableTables, ", "))
		}
		keys := config.Keys()
		i := slices.IndexFunc(keys, func(k config.Key) bool { return k.Path == path && !k.IsTable })
		if i < 0 {
			return "", fmt.Errorf("--set %q: there is no key %s; see drumctl config reference", text, path)
		}
		switch keys[i].Type {
		case "a whole number", "a number", "true or false":
		default:
			value = fmt.Sprintf("%q", value)
			if strings.HasPrefix(keys[i].Type, "a list") {
				value = "[" + value + "]"
			}
		}
		parts[part] += fmt.Sprintf("%s = %s\n", strings.TrimPrefix(path, part+"."), value)
	}
	var b strings.Builder
	for _, part := range settableTables {
		if parts[part] != "" {
			fmt.Fprintf(&b, "[%s]\n%s", part, parts[part])
		}
	}
	return b.String(), nil
}
