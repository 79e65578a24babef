package check

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"barleydrum.example/barleydrum/internal/config"
)

// File is a configuration file to check.
type File struct {
	Name string // as findings print it
	Text []byte
	Err  error // error from reading the file; Text is then ignored
}

// IsPlatform reports whether text is a platform's configuration rather than an operators' file.
// A platform's configuration is JSON and begins with a brace; TOML can't begin with one.
func IsPlatform(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(text, " \t\r\n"), []byte("{"))
}

// ParsePlatform parses a platform's configuration. If it can't be parsed, the result is nil and
// one finding says why.
func ParsePlatform(f File) (*config.Platform, []config.Finding) {
	if f.Err != nil {
		return nil, []config.Finding{unreadableFinding(f)}
	}
	p, err := config.ParsePlatform(f.Text)
	if err == nil {
		return p, nil
	}
	finding := config.Finding{Rule: config.RuleInvalidPlatform, Level: config.LevelRefused, File: f.Name, Found: err.Error()}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		finding.Rule, finding.Position = config.RuleSyntax, positionAt(f.Text, syntax.Offset)
	case errors.As(err, &wrongType):
		finding.Rule, finding.Key, finding.Found, finding.Allowed = config.RuleWrongType, wrongType.Field, "a "+wrongType.Value, "a "+wrongType.Type.String()
		finding.Position = positionAt(f.Text, wrongType.Offset)
	default:
		if key, found, ok := strings.Cut(err.Error(), ": "); ok {
			finding.Key, finding.Found = key, found
		}
	}
	return nil, []config.Finding{finding}
}

// unreadableFinding returns the finding for a file that could not be read.
func unreadableFinding(f File) config.Finding {
	return config.Finding{Rule: config.RuleUnreadable, Level: config.LevelRefused, File: f.Name, Found: f.Err.Error()}
}

// positionAt returns the line and column of the last byte that encoding/json had read when it
// failed. offset is the number of bytes read.
func positionAt(text []byte, offset int64) config.Position {
	before := text[:min(max(int(offset)-1, 0), len(text))]
	line := bytes.Count(before, []byte("\n"))
	return config.Position{Line: line + 1, Column: len(before) - bytes.LastIndexByte(before, '\n')}
}

// ParseSettings parses an operators' file. The settings are usable only if there are no findings.
func ParseSettings(f File) (*config.Settings, []config.Finding) {
	if f.Err != nil {
		return nil, []config.Finding{unreadableFinding(f)}
	}
	return config.ParseSettings(f.Name, f.Text)
}

// Sidecar checks the configuration of one sidecar: a platform's configuration p, an operators'
// file s, or both; the missing one is nil. Without a platform's configuration, the file must set
// everything that a platform would. platformFile and settingsFile are the names printed in
// findings. Sidecar returns the merged configuration, or nil if a finding refuses it.
func Sidecar(p *config.Platform, platformFile string, s *config.Settings, settingsFile string) (*config.Config, []config.Finding) {
	c := newChecker(p, platformFile, s, settingsFile)
	c.standalone = p == nil
	c.run()
	c.report.crossCheck([]*checker{c})
	if config.HasRefusal(c.report.findings) {
		return nil, c.report.findings
	}
	return c.merged, c.report.findings
}

// Deployment checks the files of a whole deployment. Each operators' file is checked together
// with every platform's configuration that sends to its tier, and a platform's configuration
// without such a file is checked alone. All of them together are checked for shared listen
// addresses, tiers that call each other in a cycle, and sidecar counts and numbers.
func Deployment(files []File) []config.Finding {
	var all report
	checked, parseFindings := pairFiles(files)
	all.add(parseFindings...)
	for _, c := range checked {
		c.run()
		all.add(c.report.findings...)
	}
	all.crossCheck(checked)
	return all.findings
}

// crossCheck adds the findings that need all sidecars of the deployment.
func (r *report) crossCheck(checked []*checker) {
	r.checkListenAddresses(checked)
	r.checkTierCycles(checked)
	r.checkSidecarCounts(checked)
}

// pairFiles parses files and returns a checker for each combination that a sidecar would run
// with, and the findings of parsing. Warnings of pairing are in the checkers' reports.
func pairFiles(files []File) (checked []*checker, findings []config.Finding) {
	var all report
	var platforms, settings []*checker
	for _, f := range files {
		if f.Err == nil && IsPlatform(f.Text) {
			p, bad := ParsePlatform(f)
			all.add(bad...)
			if p != nil {
				platforms = append(platforms, newChecker(p, f.Name, nil, ""))
			}
			continue
		}
		s, bad := ParseSettings(f)
		all.add(bad...)
		if len(bad) == 0 {
			settings = append(settings, newChecker(nil, "", s, f.Name))
		}
	}
	for _, s := range settings {
		matched := false
		for _, p := range platforms {
			tier := p.platform.Tier()
			if s.settings.Application.Tier != tier && tier != "" && s.settings.Application.Tier != "" {
				continue
			}
			matched, p.paired = true, true
			checked = append(checked, newChecker(p.platform, p.platformFile, s.settings, s.settingsFile))
		}
		if matched {
			continue
		}
		switch s.standalone = s.isStandalone(); {
		case s.standalone:
		case len(platforms) > 0:
			s.warn("no-platform-match", "application.tier", quote(s.settings.Application.Tier), "the tier of a platform's configuration among the checked files")
		default:
			s.warn("needs-platform", "application.listen", "nothing", "HOST:PORT, or check the file together with a platform's configuration")
		}
		checked = append(checked, s)
	}
	for _, p := range platforms {
		if !p.paired {
			checked = append(checked, p)
		}
	}
	return checked, all.findings
}

// report collects findings without duplicates. The zero value is ready for use.
type report struct {
	findings []config.Finding
	seen     map[config.Finding]bool
}

// add appends the findings that the report does not have yet.
func (r *report) add(findings ...config.Finding) {
	if r.seen == nil {
		r.seen = make(map[config.Finding]bool)
	}
	for _, f := range findings {
		if !r.seen[f] {
			r.seen[f] = true
			r.findings = append(r.findings, f)
		}
	}
}

// checker checks one sidecar's configuration.
type checker struct {
	platform     *config.Platform // nil if there is none
	platformFile string           // name of the platform's configuration in findings
	settings     *config.Settings // the defaults if there is no operators' file
	settingsFile string           // empty if there is no operators' file
	merged       *config.Config   // platform and settings as the sidecar would run with them
	standalone   bool             // the operators' file must set everything that a platform would
	paired       bool             // an operators' file is checked together with this platform
	report       report
}

// newChecker returns a checker for p and s, one of which may be nil.
func newChecker(p *config.Platform, platformFile string, s *config.Settings, settingsFile string) *checker {
	if s == nil {
		s, settingsFile = config.DefaultSettings(), ""
	}
	return &checker{
		platform: p, platformFile: platformFile, settings: s, settingsFile: settingsFile, merged: config.Merge(p, s),
	}
}

// isStandalone reports whether the operators' file is meant to be used without a platform's
// configuration.
func (c *checker) isStandalone() bool {
	return c.settings.Application.ListenAddress != "" || c.settings.Application.DiscoveryAddress != ""
}

// setsAny reports whether the operators' file sets any of the keys.
func (c *checker) setsAny(keys ...string) bool {
	for _, key := range keys {
		if _, ok := c.settings.KeyPosition(key); ok {
			return true
		}
	}
	return false
}

// refuse adds a finding of the rule with the identifier id for key. The finding names the operators' file, or the
// platform's configuration if the operators' file does not set the key. fix, if given, replaces
// the rule's own. refuse panics if there is no such rule.
func (c *checker) refuse(id, key, found, allowed string, fix ...string) {
	r, ok := RuleByID(id)
	if !ok {
		panic("check: no rule " + id)
	}
	f := config.Finding{
		Rule: id, Level: r.Level, File: c.settingsFile, Key: key, Found: found, Allowed: allowed, Reason: r.Reason, Fix: r.Fix,
	}
	if len(fix) > 0 {
		f.Fix = fix[0]
	}
	position, isSet := c.settings.KeyPosition(key)
	if f.Position = position; !isSet && c.platformFile != "" {
		f.File = c.platformFile
	}
	c.report.add(f)
}

// warn calls refuse. It marks calls for rules whose level is a warning.
func (c *checker) warn(id, key, found, allowed string) { c.refuse(id, key, found, allowed) }

// quote returns text as findings print it, in double quotes.
func quote(text string) string { return fmt.Sprintf("%q", text) }
