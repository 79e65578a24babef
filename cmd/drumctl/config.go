package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"barleydrum.example/barleydrum/internal/check"
	"barleydrum.example/barleydrum/internal/config"
)

// readFiles reads files for the checker, each name once. The checker reports a file that can't be
// read, so readFiles does not return an error.
func readFiles(names []string) []check.File {
	var files []check.File
	seen := make(map[string]bool)
	for _, name := range names {
		if seen[name] {
			continue
		}
		seen[name] = true
		text, err := config.ReadFile(name, config.MaxPlatformBytes)
		files = append(files, check.File{Name: name, Text: text, Err: err})
	}
	return files
}

// checkReport is the output of check as JSON.
type checkReport struct {
	Files    int              `json:"files"`
	Refused  int              `json:"refused"`
	Warnings int              `json:"warnings"`
	Findings []config.Finding `json:"findings"`
}

// printFindings prints the findings and their counts, and returns errRefused if one of them refuses
// its file. files is the number of files checked.
func printFindings(w io.Writer, format outputFormat, files int, findings []config.Finding) error {
	report := checkReport{Files: files, Findings: findings}
	if findings == nil {
		report.Findings = []config.Finding{}
	}
	for _, f := range findings {
		if f.Level == config.LevelRefused {
			report.Refused++
		} else {
			report.Warnings++
		}
	}
	if format == "json" {
		if err := writeJSON(w, report); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			fmt.Fprintln(w, f)
		}
		fmt.Fprintf(w, "%d checked: %d refused, %d warnings\n", report.Files, report.Refused, report.Warnings)
	}
	if report.Refused > 0 {
		return errRefused
	}
	return nil
}

// checkCommand returns the command config check.
func checkCommand() *cobra.Command {
	var format outputFormat
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check one file, or a whole deployment at once",
		Long: `Check operators' files (TOML) and platforms' configurations (the JSON of PROXY_CONFIG).

An operators' file is checked together with every platform's configuration that sends to its
tier, as barleydrum does when it starts. If there is none, the file is checked alone. All files
together are checked for addresses that two listeners use, tiers that call each other in a
circle, and sidecars whose count or numbers are wrong.`,
		Example: "  drumctl config check order-front.toml\n  drumctl config check order-front.toml run/*.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files := readFiles(args)
			return printFindings(c.OutOrStdout(), format, len(files), check.Deployment(files))
		},
	}
	format.addFlag(c)
	return c
}

// explainCommand returns the command config explain.
func explainCommand() *cobra.Command {
	var format outputFormat
	c := &cobra.Command{
		Use:   "explain FILE...",
		Short: "Describe the worst case of a configuration, for each class",
		Long: `Describe for each class how many attempts a request may have and over what time, when the last
one may start, which endpoints it may go to, and what a refusal and a failure promise. Files are
combined as by check. Nothing is explained if a file is refused.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files := readFiles(args)
			explanations, findings := check.Explain(files)
			if config.HasRefusal(findings) {
				return printFindings(c.OutOrStdout(), format, len(files), findings)
			}
			if format == "json" {
				return writeJSON(c.OutOrStdout(), explanations)
			}
			for i, x := range explanations {
				if i > 0 {
					fmt.Fprintln(c.OutOrStdout())
				}
				x.WriteText(c.OutOrStdout())
			}
			return nil
		},
	}
	format.addFlag(c)
	return c
}

// diffCommand returns the command config diff.
func diffCommand() *cobra.Command {
	var format outputFormat
	var exitCode bool
	c := &cobra.Command{
		Use:   "diff A B",
		Short: "Show what differs in effect between two files of the same kind",
		Long: `Show what differs in effect, not in text. Order, comments, units and values equal to the default
make no difference. Both files are operators' files, or both are platforms' configurations. They
are parsed, but not checked any further.`,
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			files := readFiles(args)
			if len(files) < 2 { // a file and itself
				files = append(files, files[0])
			}
			if check.IsPlatform(files[0].Text) != check.IsPlatform(files[1].Text) && files[0].Err == nil && files[1].Err == nil {
				return errors.New("diff: one is an operators' file, the other a platform's configuration")
			}
			var values [2][]config.Value
			var findings []config.Finding
			for i, f := range files {
				var bad []config.Finding
				if values[i], bad = valuesOf(f); len(bad) > 0 {
					findings = append(findings, bad...)
				}
			}
			if len(findings) > 0 {
				return printFindings(c.OutOrStdout(), format, len(files), findings)
			}
			changes := config.Diff(values[0], values[1])
			if format == "json" {
				if changes == nil {
					changes = []config.Change{}
				}
				if err := writeJSON(c.OutOrStdout(), changes); err != nil {
					return err
				}
			} else {
				for _, change := range changes {
					effective := "at a restart"
					if change.Reloadable {
						effective = "at SIGHUP"
					}
					fmt.Fprintf(c.OutOrStdout(), "%s (%s)\n", change, effective)
				}
			}
			if exitCode && len(changes) > 0 {
				return errRefused
			}
			return nil
		},
	}
	format.addFlag(c)
	c.Flags().BoolVar(&exitCode, "exit-code", false, "exit with 1 if something differs")
	return c
}

// valuesOf parses a file of either kind and returns its values, or the findings if it can't be parsed.
func valuesOf(f check.File) ([]config.Value, []config.Finding) {
	if f.Err == nil && check.IsPlatform(f.Text) {
		p, bad := check.ParsePlatform(f)
		if len(bad) > 0 {
			return nil, bad
		}
		return p.Values(), nil
	}
	s, bad := check.ParseSettings(f)
	if len(bad) > 0 {
		return nil, bad
	}
	return s.Values(), nil
}

// referenceCommand returns the command config reference.
func referenceCommand() *cobra.Command {
	var template bool
	c := &cobra.Command{
		Use:   "reference",
		Short: "Print the reference page of the operators' file, or a template of it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if template {
				_, err := c.OutOrStdout().Write(check.Template())
				return err
			}
			_, err := io.WriteString(c.OutOrStdout(), check.Reference())
			return err
		},
	}
	c.Flags().BoolVar(&template, "template", false, "a commented file with every key")
	return c
}

// writeFile writes text to the file name. It fails if the file exists, unless force is set. The file
// appears complete or not at all, because it is renamed from name + ".part".
func writeFile(name string, text []byte, force bool) error {
	if !force {
		if _, err := os.Lstat(name); err == nil {
			return fmt.Errorf("%s: file exists; use --force to replace it", name)
		}
	}
	partName := name + ".part"
	if err := os.WriteFile(partName, text, 0o644); err != nil {
		return err
	}
	if err := os.Rename(partName, name); err != nil {
		return errors.Join(err, os.Remove(partName))
	}
	return nil
}

// Values that fillClassDefaults uses.
const (
	defaultConnectTimeout = 250 * time.Millisecond // default of endpoints.connect_time
	defaultProbeTimeout   = 250 * time.Millisecond // default of probe.time
	minConnectTimeout     = 25 * time.Millisecond  // needed on a busy network; used where a class's time allows two such attempts
	defaultMaxAttempts    = 6                      // default of fleet.attempts
)

// fillClassDefaults chooses values that the class descriptions leave out and for which the general
// defaults may not fit: the connect and probe timeouts, which the class with the shortest times
// decides, and for each class how many attempts fit in its time with that connect timeout and until
// when an attempt may start so that endpoints still remember its key. tables[i] is the TOML table of
// classes[i]. It returns the TOML of the general settings, and the tables with the chosen keys added.
func fillClassDefaults(s *config.Settings, classes, tables []string) (general string, filledTables []string) {
	connect, probe := defaultConnectTimeout, defaultProbeTimeout
	available := func(k *config.Class) time.Duration {
		return k.TargetLatency - 2*min(s.Callers.ResponseMargin, k.TargetLatency/10)
	}
	for _, k := range s.Classes {
		if k.TargetLatency == 0 {
			continue // check refuses this, or the platform sets it
		}
		fitting := max(available(k)/defaultMaxAttempts, min(minConnectTimeout, available(k)/2))
		if k.MaxAttempts > 0 {
			fitting = available(k) / time.Duration(k.MaxAttempts)
		}
		connect, probe = min(connect, fitting), min(probe, k.TargetLatency/2)
	}
	connect = max(connect.Truncate(time.Millisecond), time.Millisecond)
	probe = max(probe.Truncate(time.Millisecond), connect)
	if connect < defaultConnectTimeout {
		general += fmt.Sprintf("[endpoints]\nconnect_time = %q\n", connect)
	}
	if probe < defaultProbeTimeout {
		general += fmt.Sprintf("[probe]\ntime = %q\n", probe)
	}
	for i, table := range tables {
		name, _, _ := strings.Cut(classes[i], ",")
		k := s.Classes[name]
		if k != nil && k.TargetLatency > 0 {
			if n := max(available(k)/connect, 1); k.MaxAttempts == 0 && n < defaultMaxAttempts {
				table += fmt.Sprintf("attempts = %d\n", n)
			}
			if latest := k.RepeatWindow * 9 / 10; k.RetryWithin == 0 && latest > 0 && latest < k.TargetLatency {
				table += fmt.Sprintf("retry_within = %q\n", latest.Truncate(time.Millisecond))
			}
		}
		filledTables = append(filledTables, table)
	}
	return general, filledTables
}

// classTOML converts the description of a class, such as
// "place-order,wanted=1540ms,semantics=keyed", to a TOML table.
func classTOML(text string) (string, error) {
	name, rest, _ := strings.Cut(text, ",")
	if name == "" || strings.Contains(name, "=") {
		return "", fmt.Errorf("--class %q: does not begin with a class name", text)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[class.%q]\n", name)
	for _, field := range strings.Split(rest, ",") {
		if field == "" {
			continue
		}
		key, value, ok := strings.Cut(field, "=")
		if !ok {
			return "", fmt.Errorf("--class %q: %q is not KEY=VALUE", text, field)
		}
		key = strings.ReplaceAll(strings.TrimSpace(key), "-", "_")
		switch value = strings.TrimSpace(value); key {
		case "attempts", "retries", "second_copies", "worth":
			fmt.Fprintf(&b, "%s = %s\n", key, value)
		default:
			fmt.Fprintf(&b, "%q = %q\n", key, value)
		}
	}
	return b.String(), nil
}
