package config

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"pgregory.net/rapid"
)

const validSettings = `schema = 1

[application]
name = "order-front"
tier = "order-front"
listen = "127.0.0.1:9000"
discovery = "127.0.0.1:8500"

[callers]
head_time = "1s"
also_listen = ["127.0.0.1:9001", "[::1]:9000"]

[class.place-order]
wanted = "1540ms"
deadline = "3850ms"
semantics = "keyed"
scope = "all"
repeat_window = "10s"
second_copies = true
retries = 0
`

// Guards the defaults: a changed one would change the behavior of every deployment that does not set
// the key.
func TestDefaultSettings(t *testing.T) {
	s := DefaultSettings()
	for _, c := range []struct{ got, want any }{
		{s.Callers.HeadTimeout, 2 * time.Second}, {s.Callers.BodyTimeout, 700 * time.Millisecond},
		{s.Callers.WriteTimeout, 5 * time.Second}, {s.Callers.IdleTimeout, 5 * time.Second},
		{s.Callers.EvictionGrace, 100 * time.Millisecond}, {s.Callers.ResponseMargin, 10 * time.Millisecond},
		{s.Callers.MaxRequestHead, Size(16 << 10)}, {s.Callers.MaxRequestBody, Size(64 << 10)},
		{s.Endpoints.MaxResponseHead, Size(16 << 10)}, {s.Endpoints.MaxResponseBody, Size(64 << 10)},
		{s.Probe.Timeout, 250 * time.Millisecond}, {s.Limits.HeapShare, 0.75},
		{s.Discovery.PushWait, 200 * time.Millisecond}, {s.Discovery.PushResponseTimeout, 200 * time.Millisecond},
		{s.Discovery.PollWait, 20 * time.Second}, {s.Discovery.PollResponseTimeout, 2 * time.Second},
		{s.Discovery.MinPause, 100 * time.Millisecond},
		{s.Shutdown.AcceptGrace, 500 * time.Millisecond}, {s.Shutdown.DeadlineMargin, 200 * time.Millisecond},
	} {
		if c.got != c.want {
			t.Errorf("%v, want %v", c.got, c.want)
		}
	}
	merged := Merge(&Platform{Limits: Limits{Sockets: 1024}}, s)
	if merged.MaxCallerConnections() != 341 || merged.MaxEndpointConnections() != 659 || merged.ConnectTimeout() != 250*time.Millisecond || merged.KeepAliveTimeout() != 10*time.Second {
		t.Errorf("%d and %d connections, %v, %v", merged.MaxCallerConnections(), merged.MaxEndpointConnections(), merged.ConnectTimeout(), merged.KeepAliveTimeout())
	}
}

// Every key has the tags that the reference page, the template and the decoder need, and a default
// that is within its range.
func TestSchemaTagsAreComplete(t *testing.T) {
	seen := make(map[string]bool)
	for _, k := range Keys() {
		if seen[k.Path] || k.Doc == "" || !strings.HasSuffix(k.Doc, ".") {
			t.Errorf("%s: the path occurs twice, or doc is not a sentence", k.Path)
		}
		seen[k.Path] = true
		if k.IsTable {
			continue
		}
		if k.Type == "" || k.Type == "a part of the file" {
			t.Errorf("%s: no type", k.Path)
		}
		if k.Default != "" && k.UnsetMeaning != "" && k.Default != "0" {
			t.Errorf("%s: default and unset exclude each other, but for default 0", k.Path)
		}
		if k.Default == "" && k.UnsetMeaning == "" && !k.Required && !strings.HasPrefix(k.Type, "a list") {
			t.Errorf("%s: neither default, unset nor required is set", k.Path)
		}
	}
	var walk func(v reflect.Value)
	walk = func(v reflect.Value) {
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.Type.Kind() == reflect.Struct {
				walk(v.Field(i))
			} else if k := keyFromField(f); k.Default != "" && !inRange(v.Field(i), k) {
				t.Errorf("%s: the default is out of range", k.Path)
			}
			if r := f.Tag.Get("reload"); f.Tag.Get("key") != "" && r != "live" && r != "restart" &&
				f.Type.Kind() != reflect.Struct && f.Type.Kind() != reflect.Map {
				t.Errorf("%s: reload %q", f.Name, r)
			}
		}
	}
	walk(reflect.ValueOf(DefaultSettings()).Elem())
	walk(reflect.ValueOf(new(Class)).Elem())
}

// The forms that editors and TOML allow (line endings, a byte order mark, lists over several lines,
// inline tables, dotted keys) are read as the same values, at the right positions.
func TestParseSettingsAcceptsValidFiles(t *testing.T) {
	for name, text := range map[string]string{
		"plain": validSettings, "CRLF": strings.ReplaceAll(validSettings, "\n", "\r\n"), "byte order mark": "\ufeff" + validSettings,
		"long list": strings.Replace(validSettings, "[callers]\nhead_time = \"1s\"\nalso_listen = [\"127.0.0.1:9001\", \"[::1]:9000\"]\n",
			"", 1) + "[callers]\nhead_time = \"1s\"\nalso_listen = [\n \"127.0.0.1:9001\", # one\n \"[::1]:9000\",\n]\n",
	} {
		s, findings := ParseSettings("f", []byte(text))
		if len(findings) > 0 {
			t.Errorf("%s: %v", name, findings)
			continue
		}
		class := s.Classes["place-order"]
		if s.Callers.HeadTimeout != time.Second || len(s.Callers.ExtraListenAddresses) != 2 || class == nil || class.TargetLatency != 1540*time.Millisecond ||
			class.Semantics != "keyed" || class.MaxRetries == nil || *class.MaxRetries != 0 || class.Hedging == nil || !*class.Hedging {
			t.Errorf("%s: %+v", name, s)
		}
		if position, ok := s.KeyPosition("class.place-order.wanted"); name == "CRLF" && (!ok || position != (Position{14, 1})) {
			t.Errorf("%s: position of wanted: %v", name, position)
		}
	}
	text := "schema = 1\napplication = { name = \"a\" }\nclass.x = { wanted = \"1s\" }\nclass.y.wanted = \"2s\"\nlimits.cores = 1\n"
	s, findings := ParseSettings("f", []byte(text))
	if len(findings) > 0 || s.Classes["x"].TargetLatency != time.Second || s.Classes["y"].TargetLatency != 2*time.Second || s.Limits.Cores != 1 {
		t.Errorf("%v %+v", findings, s)
	}
}

// All errors of a file are reported at once, each with its position, the value found and the values
// allowed.
func TestParseSettingsReportsAllErrors(t *testing.T) {
	text := `schema = 1
[application]
name = 5
nmae = "x"
[callers]
head_time = 2
body_time = "soon"
max_head = "16 pounds"
max_body = "64GiB"
connections = -1
connections = 7
also_listen = ["127.0.0.1:1", "nowhere", "127.0.0.1:1", 5]
[caller]
x = 1
[class.a]
semantics = "kyed"
wanted.x = 1
second_copies = "yes"
[limits]
cores = nan
sockets = 99999999999999999999
[callers]
idle_time = "1s"
[[fleet]]
zone = "a"
`
	_, findings := ParseSettings("f.toml", []byte(text))
	want := []string{
		"f.toml:3:8: refused [wrong-type] application.name: found 5; allowed: a name, in quotes",
		"f.toml:4:1: refused [unknown-key] application.nmae: found nmae; allowed: name, tier, calls, listen, discovery; mend: did you mean name?",
		"f.toml:6:13: refused [wrong-type] callers.head_time: found 2; allowed: a time from 50ms to 1m, in quotes and with a unit",
		`f.toml:7:13: refused [out-of-range] callers.body_time: found "soon"; allowed: a time from 10ms to 1m`,
		`f.toml:8:12: refused [out-of-range] callers.max_head: found "16 pounds"; allowed: a size from 1KiB to 1MiB`,
		`f.toml:9:12: refused [out-of-range] callers.max_body: found "64GiB"; allowed: a size from 0 to 16MiB`,
		"f.toml:10:15: refused [out-of-range] callers.connections: found -1; allowed: a whole number from 0 to 1000000",
		"f.toml:11:1: refused [duplicate] callers.connections: found given again, first in line 10; allowed: once",
		`f.toml:12:1: refused [out-of-range] callers.also_listen: found "nowhere"; allowed: a list of HOST:PORT addresses`,
		`f.toml:12:1: refused [duplicate] callers.also_listen: found "127.0.0.1:1" twice; allowed: once`,
		"f.toml:12:1: refused [wrong-type] callers.also_listen: found 5; allowed: a list of HOST:PORT addresses",
		"f.toml:13:2: refused [unknown-key] caller: found caller; allowed: schema, application, callers, endpoints, streams, probe, discovery, shutdown, limits, fleet, class; mend: did you mean callers?",
		`f.toml:16:13: refused [out-of-range] class.a.semantics: found "kyed"; allowed: one of safe, keyed, unsafe; mend: did you mean "keyed"?`,
		"f.toml:17:8: refused [wrong-type] class.a.wanted: found a table; allowed: a time from 1ms to 1h",
		`f.toml:18:17: refused [wrong-type] class.a.second_copies: found "yes"; allowed: true or false`,
		"f.toml:20:9: refused [out-of-range] limits.cores: found nan; allowed: a number from 0.01 to 1024",
		"f.toml:21:11: refused [out-of-range] limits.sockets: found 99999999999999999999; allowed: a whole number from 64 to 1048576",
		"f.toml:22:2: refused [duplicate] callers: found given again, first in line 5; allowed: once",
		"f.toml:24:3: refused [wrong-type] fleet: found a table; allowed: a part of the file",
	}
	for i := range max(len(findings), len(want)) {
		var got, wanted string
		if i < len(findings) {
			got = findings[i].String()
		}
		if i < len(want) {
			wanted = want[i]
		}
		if got != wanted {
			t.Errorf("finding %d:\n got %s\nwant %s", i, got, wanted)
		}
	}
}

// A file that is too long, too deeply nested, wrongly encoded or otherwise malformed is refused by the
// right rule, with a bounded number of findings, and neither crashes nor blocks the decoder.
func TestParseSettingsRejectsHostileText(t *testing.T) {
	for name, c := range map[string]struct{ text, rule string }{
		"10 MB":           {strings.Repeat("# long\n", 10<<20/7), RuleUnreadable},
		"deep":            {"schema = 1\nx = " + strings.Repeat("[", 200_000), RuleSyntax},
		"deep tables":     {"schema = 1\nclass.a" + strings.Repeat(".a", 50_000) + " = 1", RuleUnknownKey},
		"NUL":             {strings.Replace(validSettings, "order-front", "order\x00front", 1), RuleSyntax},
		"NUL, escaped":    {strings.Replace(validSettings, "order-front", `order\u0000front`, 1), RuleOutOfRange},
		"invalid UTF-8":   {strings.Replace(validSettings, "order-front", "order\xff", 1), RuleSyntax},
		"UTF-16":          {"\xff\xfes\x00c\x00", RuleSyntax},
		"lone CR":         {strings.ReplaceAll(validSettings, "\n", "\r"), RuleSyntax},
		"empty":           {"", RuleMissingKey},
		"no schema":       {strings.Replace(validSettings, "schema = 1", "", 1), RuleMissingKey},
		"newer":           {strings.Replace(validSettings, "schema = 1", "schema = 2\nfuture = true", 1), RuleSchemaVersion},
		"schema of words": {strings.Replace(validSettings, "schema = 1", `schema = "1"`, 1), RuleWrongType},
		"two documents":   {validSettings + validSettings, RuleUnknownKey},
		"mixed tables":    {validSettings + "\n[class.place-order.x]\ny = 1\n", RuleUnknownKey},
		"header, dotted":  {"callers.write_time = \"1s\"\n" + validSettings, RuleSyntax},
		"many classes":    {validSettings + manyClasses(300), RuleOutOfRange},
		"a class's name":  {validSettings + "[class.\"two words\"]\n", RuleOutOfRange},
		"JSON":            {`{"schema": 1}`, RuleSyntax},
		"binary":          {"\x7fELF\x02\x01\x01", RuleSyntax},
	} {
		_, findings := ParseSettings("f", []byte(c.text))
		if len(findings) == 0 || len(findings) > maxFindings || findings[0].Rule != c.rule {
			t.Errorf("%s: %.200v, want %s", name, findings, c.rule)
		}
		if c.rule == RuleSchemaVersion && (len(findings) != 1 || !strings.Contains(findings[0].String(), "newer program")) {
			t.Errorf("%s: %v", name, findings)
		}
	}
}

// manyClasses returns the headers of n classes.
func manyClasses(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[class.c%d]\n", i)
	}
	return b.String()
}

// After a syntax error, the file is still checked from the next table header on, so that one mistake
// does not hide others.
func TestParseSettingsContinuesAfterSyntaxError(t *testing.T) {
	_, findings := ParseSettings("f", []byte("schema = 1\n[callers]\nhead_time = = 1\nidle_time = 1\n[probe]\npath = \"load\"\n"))
	if len(findings) != 2 || findings[0].Rule != RuleSyntax || findings[0].Line != 3 || findings[1].Key != "probe.path" || findings[1].Line != 6 {
		t.Errorf("%v", findings)
	}
}

// modifiedFile is a file that changes while it is read: each call of Stat returns the next of infos.
type modifiedFile struct {
	fs.File
	infos []fs.FileInfo
}

func (f *modifiedFile) Stat() (fs.FileInfo, error) {
	info := f.infos[0]
	f.infos = f.infos[1:]
	return info, nil
}

// A file that another process writes in place while it is read can be half old and half new. It shows
// in the file's size or modification time.
func TestReadDetectsModificationDuringRead(t *testing.T) {
	now := time.Now()
	files := fstest.MapFS{"f": {Data: []byte("half"), ModTime: now}, "longer": {Data: []byte("half and half"), ModTime: now},
		"later": {Data: []byte("half"), ModTime: now.Add(time.Second)}}
	stat := func(name string) fs.FileInfo {
		info, err := files.Stat(name)
		if err != nil {
			t.Fatal(err)
		}
		return info
	}
	for _, c := range []struct {
		before, after string
		unmodified    bool
	}{{"f", "f", true}, {"f", "longer", false}, {"longer", "f", false}, {"f", "later", false}, {"longer", "longer", false}} {
		f, err := files.Open("f")
		if err != nil {
			t.Fatal(err)
		}
		text, unmodified, err := readAndCompare(&modifiedFile{f, []fs.FileInfo{stat(c.before), stat(c.after)}}, 100)
		if err != nil || unmodified != c.unmodified || string(text) != "half" {
			t.Errorf("%s then %s: %q, unmodified %v, %v", c.before, c.after, text, unmodified, err)
		}
	}
}

// A file that is replaced by a rename while it is read must be returned as it was before or after, never
// as a mix of both and never as an error.
func TestReadFileIsConsistentDuringRenames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	texts := [2][]byte{bytes.Repeat([]byte("a"), 50_000), bytes.Repeat([]byte("b"), 70_000)}
	replace := func(text []byte) {
		if err := errors.Join(os.WriteFile(path+".new", text, 0o600), os.Rename(path+".new", path)); err != nil {
			t.Error(err)
		}
	}
	replace(texts[0])
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				replace(texts[i%2])
			}
		}
	}()
	for range 300 {
		text, err := ReadFile(path, 1<<20)
		if err != nil || !bytes.Equal(text, texts[0]) && !bytes.Equal(text, texts[1]) {
			t.Errorf("%d bytes, %v", len(text), err)
			break
		}
	}
	close(stop)
	<-done
}

// A missing file, a directory and a file that is too long are each reported as one finding with the reason.
func TestLoadSettingsReportsUnreadableFile(t *testing.T) {
	dir := t.TempDir()
	longFile := filepath.Join(dir, "long")
	if err := os.WriteFile(longFile, make([]byte, 10<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		filepath.Join(dir, "none"): "no such file", dir: "not a regular file", longFile: "too long",
	} {
		if _, findings := LoadSettings(path); len(findings) != 1 || findings[0].Rule != RuleUnreadable || !strings.Contains(findings[0].Found, want) {
			t.Errorf("%s: %v", path, findings)
		}
	}
}

// A written file that is read again has the same values in effect, and it contains every key.
func TestFormatSettingsRoundTrip(t *testing.T) {
	s, findings := ParseSettings("f", []byte(validSettings))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	text := FormatSettings(s)
	reread, findings := ParseSettings("again", text)
	if len(findings) > 0 {
		t.Fatalf("%v\n%s", findings, text)
	}
	if changes := Diff(s.Values(), reread.Values()); len(changes) > 0 {
		t.Errorf("written and read again: %v", changes)
	}
	for _, k := range Keys() {
		if name := k.Path[strings.LastIndex(k.Path, ".")+1:]; !k.IsTable && !bytes.Contains(text, []byte("\n"+name+" =")) &&
			!bytes.Contains(text, []byte("\n#"+name+" =")) {
			t.Errorf("%s is not in the file", k.Path)
		}
	}
}

// Other units, and a default that is given, are no changes.
func TestDiffComparesEffectiveValues(t *testing.T) {
	parse := func(text string) []Value {
		s, findings := ParseSettings("f", []byte(text))
		if len(findings) > 0 {
			t.Fatal(findings)
		}
		return s.Values()
	}
	changed := strings.NewReplacer(`"1540ms"`, `"1.54s"`, `"1s"`, `"1000ms"`, "retries = 0", "retries = 1").Replace(validSettings)
	changed = strings.Replace(changed, "second_copies = true\n", "", 1) + "[probe]\ntime = \"250ms\"\n"
	got := fmt.Sprint(Diff(parse(validSettings), parse(changed)))
	if want := "[class.place-order.retries: 0 -> 1 class.place-order.second_copies: true -> (not set)]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Every size and time that is written is read as the same value, and texts that are not sizes are
// rejected.
func TestSizeAndDurationRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := Size(rapid.Int64Range(0, 1<<50).Draw(t, "size"))
		if got, err := ParseSize(n.String()); err != nil || got != n {
			t.Fatalf("%d as %s is read as %d, %v", n, n, got, err)
		}
		d := time.Duration(rapid.Int64Range(0, int64(time.Hour)*1000).Draw(t, "time"))
		if got, err := parseDuration(FormatDuration(d)); err != nil || got != d {
			t.Fatalf("%v as %s is read as %v, %v", d, FormatDuration(d), got, err)
		}
	})
	for _, text := range []string{"", "5", "-1KiB", "1.5B", "1e3B", "KiB", "0x10B", "1KiBKiB", "999999999TiB", "NaNB"} {
		if got, err := ParseSize(text); err == nil {
			t.Errorf("%q is read as %d", text, got)
		}
	}
}

// Any text is either read as settings, which survive being written and read again and agree with
// another TOML parser, or refused by findings of one line each that lie within the text.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add(FormatSettings(DefaultSettings()))
	f.Add([]byte("schema = 1\n[class.a]\nwanted = { x = [1, { y = 2 }] }\n[[callers]]\n"))
	f.Add([]byte("class.\"\\u0000\".wanted = '''\n\n'''\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, findings := ParseSettings("f", text)
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, finding := range findings {
			if finding.Rule == "" || finding.Level != LevelRefused || finding.Line > lines || finding.Found == "" || strings.ContainsAny(finding.String(), "\n\x00") {
				t.Errorf("%+v", finding)
			}
		}
		if len(findings) > 0 {
			return
		}
		checkSameKeysAsBurntSushi(t, "f", text, s)
		reread, findings := ParseSettings("again", FormatSettings(s))
		if len(findings) > 0 || len(Diff(s.Values(), reread.Values())) > 0 {
			t.Errorf("written and read again: %v %v\n%s", findings, Diff(s.Values(), reread.Values()), FormatSettings(s))
		}
	})
}
