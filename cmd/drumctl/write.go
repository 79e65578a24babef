package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"barleydrum.example/barleydrum/internal/check"
	"barleydrum.example/barleydrum/internal/config"
)

// writeCommand returns the command config write.
func writeCommand() *cobra.Command {
	var tier, listen, discovery, zone, file string
	var calls, zones, classes, sets []string
	var sidecars, number int
	var force bool
	c := &cobra.Command{
		Use:   "write APP",
		Short: "Write a commented operators' file for one application from a short description",
		Long: `Write an operators' file for the application APP, with a comment on each key.

A class is described as NAME,KEY=VALUE,... with the keys of [class.NAME]. With --listen and
--discovery the file has everything that a sidecar needs; without them it is for use with a
platform's configuration. If connect_time, probe.time, or a class's attempts or retry_within are
left out, they are chosen so that they fit in the classes' times. A file that check would refuse
is not written.`,
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
			stringValue := func(key, value string) {
				if value != "" {
					fmt.Fprintf(&b, "%s = %q\n", key, value)
				}
			}
			stringList := func(key string, values []string) {
				if len(values) > 0 {
					fmt.Fprintf(&b, "%s = [%s]\n", key, quoteAll(values))
				}
			}
			stringValue("tier", tier)
			stringList("calls", calls)
			stringValue("listen", listen)
			stringValue("discovery", discovery)
			if zone != "" || len(zones) > 0 || sidecars > 0 || number > 0 {
				b.WriteString("[fleet]\n")
				stringValue("zone", zone)
				stringList("zones", zones)
				if sidecars > 0 {
					fmt.Fprintf(&b, "sidecars = %d\n", sidecars)
				}
				if number > 0 {
					fmt.Fprintf(&b, "number = %d\n", number)
				}
			}
			setTables, err := settingsTOML(sets)
			if err != nil {
				return err
			}
			b.WriteString(setTables)
			classTables := make([]string, len(classes))
			for i, class := range classes {
				var err error
				if classTables[i], err = classTOML(class); err != nil {
					return err
				}
			}
			// Values that were left out are chosen to fit the classes' times.
			s, findings := config.ParseSettings("", []byte(b.String()+strings.Join(classTables, "")))
			if len(findings) == 0 {
				var defaults string
				defaults, classTables = fillClassDefaults(s, classes, classTables)
				b.WriteString(defaults)
			}
			b.WriteString(strings.Join(classTables, ""))
			if len(findings) == 0 {
				s, findings = config.ParseSettings("", []byte(b.String()))
			}
			if len(findings) == 0 {
				findings = check.Deployment([]check.File{{Text: []byte(b.String())}})
			}
			if config.HasRefusal(findings) {
				for i := range findings { // the user has not seen the generated text, so its lines mean nothing
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
	f.StringVar(&listen, "listen", "", "the address on which the sidecar serves callers, HOST:PORT")
	f.StringVar(&discovery, "discovery", "", "the address of discovery, HOST:PORT")
	f.StringVar(&zone, "zone", "", "the zone that the sidecar is in")
	f.StringSliceVar(&zones, "zones", nil, "all zones")
	f.IntVar(&sidecars, "sidecars", 0, "the number of sidecars that send to the tier")
	f.IntVar(&number, "number", 0, "this sidecar's number among them, starting from 0")
	f.StringArrayVar(&classes, "class", nil, "a class, as NAME,KEY=VALUE,...; repeat the flag for further classes")
	f.StringArrayVar(&sets, "set", nil, "a further key, as PART.KEY=VALUE; repeat the flag for further keys. Parts: "+strings.Join(settableTables, ", "))
	f.StringVarP(&file, "file", "f", "", "the file to write (default standard output)")
	f.BoolVar(&force, "force", false, "replace an existing file")
	return c
}

// quoteAll returns the values in double quotes, separated by commas.
func quoteAll(values []string) string {
	quoted := make([]string, len(values))
	for i, v := range values {
		quoted[i] = fmt.Sprintf("%q", v)
	}
	return strings.Join(quoted, ", ")
}

// settableTables are the parts whose keys --set accepts. No other flag writes to these parts, so no
// table is written twice.
var settableTables = []string{"callers", "streams", "discovery", "shutdown", "limits"}

// settingsTOML converts assignments of the form PART.KEY=VALUE to TOML tables.
func settingsTOML(assignments []string) (string, error) {
	tables := make(map[string]string)
	for _, assignment := range assignments {
		path, value, ok := strings.Cut(assignment, "=")
		table, _, dotted := strings.Cut(path, ".")
		if !ok || !dotted || !slices.Contains(settableTables, table) {
			return "", fmt.Errorf("--set %q: not PART.KEY=VALUE with one of the parts %s", assignment, strings.Join(settableTables, ", "))
		}
		keys := config.Keys()
		i := slices.IndexFunc(keys, func(k config.Key) bool { return k.Path == path && !k.IsTable })
		if i < 0 {
			return "", fmt.Errorf("--set %q: unknown key %s; see drumctl config reference", assignment, path)
		}
		switch keys[i].Type {
		case "a whole number", "a number", "true or false":
		default:
			value = fmt.Sprintf("%q", value)
			if strings.HasPrefix(keys[i].Type, "a list") {
				value = "[" + value + "]"
			}
		}
		tables[table] += fmt.Sprintf("%s = %s\n", strings.TrimPrefix(path, table+"."), value)
	}
	var b strings.Builder
	for _, table := range settableTables {
		if tables[table] != "" {
			fmt.Fprintf(&b, "[%s]\n%s", table, tables[table])
		}
	}
	return b.String(), nil
}
