package check

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"barleydrum.example/barleydrum/internal/config"
)

// File is a file's text under the name that findings call it by.
type File struct {
	Name string
	Text []byte
	Err  error // of reading it
}

// IsPlatform tells whether a text is a platform's configuration: JSON begins with a brace,
// and no operators' file can.
func IsPlatform(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(text, " \t\r\n"), []byte("{"))
}

// ParsePlatform reads a platform's configuration, with what is wrong with it as a finding.
func ParsePlatform(f File) (*config.Platform, []config.Finding) {
	if f.Err != nil {
		return nil, []config.Finding{unreadableFinding(f)}
	}
	p, err := config.ParsePlatform(f.Text)
	if err == nil {
		return p, nil
	}
	at := config.Finding{Rule: config.RuleInvalidPlatform, Level: config.LevelRefused, File: f.Name, Found: err.Error()}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		at.Rule, at.Position = config.RuleSyntax, positionAt(f.Text, syntax.Offset)
	case errors.As(err, &kind):
		at.Rule, at.Key, at.Found, at.Allowed = config.RuleWrongType, kind.Field, "a "+kind.Value, "a "+kind.Type.String()
		at.Position = positionAt(f.Text, kind.Offset)
	default:
		if key, found, ok := strings.Cut(err.Error(), ": "); ok {
			at.Key, at.Found = key, found
		}
	}
	return nil, []config.Finding{at}
}

func unreadableFinding(f File) config.Finding {
	return config.Finding{Rule: config.RuleUnreadable, Level: config.LevelRefused, File: f.Name, Found: f.Err.Error()}
}

func positionAt(text []byte, offset int64) config.Position {
	before := text[:min(max(int(offset)-1, 0), len(text))]
	line := bytes.Count(before, []byte("\n"))
	return config.Position{Line: line + 1, Column: len(before) - bytes.LastIndexByte(before, '\n')}
}

// ParseSettings reads an operators' file.
func ParseSettings(f File) (*config.Settings, []config.Finding) {
	if f.Err != nil {
		return nil, []config.Finding{unreadableFinding(f)}
	}
	return config.ParseSettings(f.Name, f.Text)
}

// Sidecar checks what one sidecar runs with: a platform's configuration, an operators' file,
// or both; the one left out is nil. Alone, a file must say all that a platform would. The
// names are the files'. It returns what the sidecar is to run with, nil if that is refused.
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

// Deployment checks files of both kinds together: each operators' file beside every platform's
// configuration that sends to its tier, each platform's that has no such file alone, and all
// of them for what they claim and how their tiers call each other.
func Deployment(files []File) []config.Finding {
	var all report
	checked, bad := pairFiles(files)
	all.add(bad...)
	for _, c := range checked {
		c.run()
		all.add(c.report.findings...)
	}
	all.crossCheck(checked)
	return all.findings
}

// crossCheck checks what only shows with all sidecars side by side.
func (r *report) crossCheck(checked []*checker) {
	r.checkListenAddresses(checked)
	r.checkTierCycles(checked)
	r.checkSidecarCounts(checked)
}

// pairFiles reads files and puts those together that a sidecar would run with.
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
	for _, own := range settings {
		matched := false
		for _, p := range platforms {
			tier := p.platform.Tier()
			if own.settings.Application.Tier != tier && tier != "" && own.settings.Application.Tier != "" {
				continue
			}
			matched, p.paired = true, true
			checked = append(checked, newChecker(p.platform, p.platformFile, own.settings, own.settingsFile))
		}
		if matched {
			continue
		}
		switch own.standalone = own.isStandalone(); {
		case own.standalone:
		case len(platforms) > 0:
			own.warn("no-platform-match", "application.tier", quote(own.settings.Application.Tier), "a tier that a platform's configuration here sends to")
		default:
			own.warn("needs-platform", "application.listen", "nothing", "HOST:PORT, or a platform's configuration beside the file")
		}
		checked = append(checked, own)
	}
	for _, p := range platforms {
		if !p.paired {
			checked = append(checked, p)
		}
	}
	return checked, all.findings
}

// report gathers findings; the same is said once.
type report struct {
	findings []config.Finding
	seen     map[config.Finding]bool
}

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
	platform     *config.Platform // nil for none
	platformFile string
	settings     *config.Settings // the defaults for none
	settingsFile string           // empty for none
	merged       *config.Config
	standalone   bool // the file must say all that a platform would
	paired       bool // a file goes with this platform's configuration
	report       report
}

func newChecker(p *config.Platform, platformFile string, s *config.Settings, settingsFile string) *checker {
	if s == nil {
		s, settingsFile = config.DefaultSettings(), ""
	}
	return &checker{
		platform: p, platformFile: platformFile, settings: s, settingsFile: settingsFile, merged: config.Merge(p, s),
	}
}

// isStandalone tells whether an operators' file means to be run with alone.
func (c *checker) isStandalone() bool {
	return c.settings.Application.ListenAddress != "" || c.settings.Application.DiscoveryAddress != ""
}

// setsAny tells whether the operators' file gives a key.
func (c *checker) setsAny(keys ...string) bool {
	for _, key := range keys {
		if _, ok := c.settings.KeyPosition(key); ok {
			return true
		}
	}
	return false
}

// refuse adds a finding of a rule on a key of the operators' file, or of the platform's
// configuration where the former does not give it. mend, if any, goes before the rule's own.
func (c *checker) refuse(id, key, found, allowed string, mend ...string) {
	r, ok := RuleByID(id)
	if !ok {
		panic("check: no rule " + id)
	}
	f := config.Finding{
		Rule: id, Level: r.Level, File: c.settingsFile, Key: key, Found: found, Allowed: allowed, Reason: r.Reason, Fix: r.Fix,
	}
	if len(mend) > 0 {
		f.Fix = mend[0]
	}
	at, given := c.settings.KeyPosition(key)
	if f.Position = at; !given && c.platformFile != "" {
		f.File = c.platformFile
	}
	c.report.add(f)
}

// warn is refuse for a rule that warns; the rule's level says which.
func (c *checker) warn(id, key, found, allowed string) { c.refuse(id, key, found, allowed) }

func quote(text string) string { return fmt.Sprintf("%q", text) }
