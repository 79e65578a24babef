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

// readFiles reads files for the checker. A file that can't be read is a finding of its, not an
// error of ours.
func readFiles(names []string) []check.File {
	var out []check.File
	seen := make(map[string]bool)
	for _, name := range names {
		if seen[name] {
			continue
		}
		seen[name] = true
		text, err := config.ReadFile(name, config.MaxPlatformBytes)
		out = append(out, check.File{Name: name, Text: text, Err: err})
	}
	return out
}

// checkReport is what check says as JSON.
type checkReport struct {
	Files    int              `json:"files"`
	Refused  int              `json:"refused"`
	Warnings int              `json:"warnings"`
	Findings []config.Finding `json:"findings"`
}

// printFindings prints findings and their count, and returns errRefused if one of them refuses.
func printFindings(w io.Writer, as outputFormat, files int, findings []config.Finding) error {
	v := checkReport{Files: files, Findings: findings}
	if findings == nil {
		v.Findings = []config.Finding{}
	}
	for _, f := range findings {
		if f.Level == config.LevelRefused {
			v.Refused++
		} else {
			v.Warnings++
		}
	}
	if as == "json" {
		if err := writeJSON(w, v); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			fmt.Fprintln(w, f)
		}
		fmt.Fprintf(w, "%d checked: %d refused, %d warnings\n", v.Files, v.Refused, v.Warnings)
	}
	if v.Refused > 0 {
		return errRefused
	}
	return nil
}

func checkCommand() *cobra.Command {
	var as outputFormat
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check one file, or a whole deployment at once",
		Long: `Check operators' files (TOML) and platforms' configurations (the JSON of PROXY_CONFIG).

An operators' file is checked beside every platform's configuration that sends to its tier, as
the program checks the two at its start; with none, by itself. All files together are checked
for addresses that two listeners claim, tiers that call each other in a circle, and sidecars
that are miscounted.`,
		Example: "  drumctl config check order-front.toml\n  drumctl config check order-front.toml run/*.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files := readFiles(args)
			return printFindings(c.OutOrStdout(), as, len(files), check.Deployment(files))
		},
	}
	as.addFlag(c)
	return c
}

func explainCommand() *cobra.Command {
	var as outputFormat
	c := &cobra.Command{
		Use:   "explain FILE...",
		Short: "Tell the worst that follows from a configuration, for each class",
		Long: `Tell for each class how many attempts a request may have, over what time, when the last may
begin, where it may go, and what a refusal and a failure promise. Files are put together as by
check; one that is refused is not explained.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files := readFiles(args)
			all, findings := check.Explain(files)
			if config.HasRefusal(findings) {
				return printFindings(c.OutOrStdout(), as, len(files), findings)
			}
			if as == "json" {
				return writeJSON(c.OutOrStdout(), all)
			}
			for i, x := range all {
				if i > 0 {
					fmt.Fprintln(c.OutOrStdout())
				}
				x.WriteText(c.OutOrStdout())
			}
			return nil
		},
	}
	as.addFlag(c)
	return c
}

func diffCommand() *cobra.Command {
	var as outputFormat
	var code bool
	c := &cobra.Command{
		Use:   "diff A B",
		Short: "Tell what differs in effect between two files of a kind",
		Long: `Tell what differs in effect, not in text: order, comments, units and values that say what
leaving them out means make no difference. Both files are operators' files, or both platforms'
configurations; neither is checked for more than that it can be read.`,
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
				return printFindings(c.OutOrStdout(), as, len(files), findings)
			}
			changes := config.Diff(values[0], values[1])
			if as == "json" {
				if changes == nil {
					changes = []config.Change{}
				}
				if err := writeJSON(c.OutOrStdout(), changes); err != nil {
					return err
				}
			} else {
				for _, change := range changes {
					when := "at a restart"
					if change.Reloadable {
						when = "at SIGHUP"
					}
					fmt.Fprintf(c.OutOrStdout(), "%s (%s)\n", change, when)
				}
			}
			if code && len(changes) > 0 {
				return errRefused
			}
			return nil
		},
	}
	as.addFlag(c)
	c.Flags().BoolVar(&code, "exit-code", false, "exit with 1 if something differs")
	return c
}

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

// writeFile writes a file that must not stand yet, unless force is set, whole or not at all.
func writeFile(name string, text []byte, force bool) error {
	if !force {
		if _, err := os.Lstat(name); err == nil {
			return fmt.Errorf("%s: exists; --force replaces it", name)
		}
	}
	part := name + ".part"
	if err := os.WriteFile(part, text, 0o644); err != nil {
		return err
	}
	if err := os.Rename(part, name); err != nil {
		return errors.Join(err, os.Remove(part))
	}
	return nil
}

// What suited chooses by: the fleet's own defaults, and the least time for a connection that
// a busy network needs, where the classes' times leave room for two attempts of it.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultProbeTimeout   = 250 * time.Millisecond
	minConnectTimeout     = 25 * time.Millisecond
	defaultMaxAttempts    = 6
)

// fillClassDefaults chooses what the descriptions of classes leave out and a general default would not
// fit: how long a connection and a probe may take, by the class in the greatest hurry, and for
// each class how many attempts then fit, and until when one may begin that still finds its key.
// It returns the general part, and the parts of the classes with what they lacked.
func fillClassDefaults(s *config.Settings, classes, parts []string) (general string, out []string) {
	connect, probe := defaultConnectTimeout, defaultProbeTimeout
	left := func(k *config.Class) time.Duration {
		return k.TargetLatency - 2*min(s.Callers.ResponseMargin, k.TargetLatency/10)
	}
	for _, k := range s.Classes {
		if k.TargetLatency == 0 {
			continue // for check to refuse, or the platform's
		}
		fits := max(left(k)/defaultMaxAttempts, min(minConnectTimeout, left(k)/2))
		if k.MaxAttempts > 0 {
			fits = left(k) / time.Duration(k.MaxAttempts)
		}
		connect, probe = min(connect, fits), min(probe, k.TargetLatency/2)
	}
	connect = max(connect.Truncate(time.Millisecond), time.Millisecond)
	probe = max(probe.Truncate(time.Millisecond), connect)
	if connect < defaultConnectTimeout {
		general += fmt.Sprintf("[endpoints]\nconnect_time = %q\n", connect)
	}
	if probe < defaultProbeTimeout {
		general += fmt.Sprintf("[probe]\ntime = %q\n", probe)
	}
	for i, part := range parts {
		name, _, _ := strings.Cut(classes[i], ",")
		k := s.Classes[name]
		if k != nil && k.TargetLatency > 0 {
			if n := max(left(k)/connect, 1); k.MaxAttempts == 0 && n < defaultMaxAttempts {
				part += fmt.Sprintf("attempts = %d\n", n)
			}
			if last := k.RepeatWindow * 9 / 10; k.RetryWithin == 0 && last > 0 && last < k.TargetLatency {
				part += fmt.Sprintf("retry_within = %q\n", last.Truncate(time.Millisecond))
			}
		}
		out = append(out, part)
	}
	return general, out
}

// classTOML turns the text of a class's description, such as
// "place-order,wanted=1540ms,semantics=keyed", into lines of TOML.
func classTOML(text string) (string, error) {
	name, rest, _ := strings.Cut(text, ",")
	if name == "" || strings.Contains(name, "=") {
		return "", fmt.Errorf("--class %q: begins with the class's name", text)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[class.%q]\n", name)
	for _, part := range strings.Split(rest, ",") {
		if part == "" {
			continue
		}
		key, value, ok := strings.Cut(part, "=")
		if !ok {
			return "", fmt.Errorf("--class %q: %q is not KEY=VALUE", text, part)
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
