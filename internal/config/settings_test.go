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

// Without a file the program does what it did when these figures stood in its code.
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
	c := Merge(&Platform{Limits: Limits{Sockets: 1024}}, s)
	if c.MaxCallerConnections() != 341 || c.MaxEndpointConnections() != 659 || c.ConnectTimeout() != 250*time.Millisecond || c.KeepAliveTimeout() != 10*time.Second {
		t.Errorf("%d and %d connections, %v, %v", c.MaxCallerConnections(), c.MaxEndpointConnections(), c.ConnectTimeout(), c.KeepAliveTimeout())
	}
}

// Every key says all that the reference and the template need.
func TestSchemaTagsAreComplete(t *testing.T) {
	seen := make(map[string]bool)
	for _, k := range Keys() {
		if seen[k.Path] || k.Doc == "" || !strings.HasSuffix(k.Doc, ".") {
			t.Errorf("%s: twice, or without a sentence on it", k.Path)
		}
		seen[k.Path] = true
		if k.IsTable {
			continue
		}
		if k.Type == "" || k.Type == "a part of the file" {
			t.Errorf("%s: no type", k.Path)
		}
		if k.Default != "" && k.UnsetMeaning != "" && k.Default != "0" {
			t.Errorf("%s: a default, and a word on being left out", k.Path)
		}
		if k.Default == "" && k.UnsetMeaning == "" && !k.Required && !strings.HasPrefix(k.Type, "a list") {
			t.Errorf("%s: nothing says what leaving it out means", k.Path)
		}
	}
	var walk func(v reflect.Value)
	walk = func(v reflect.Value) {
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.Type.Kind() == reflect.Struct {
				walk(v.Field(i))
			} else if k := keyFromField(f); k.Default != "" && !inRange(v.Field(i), k) {
				t.Errorf("%s: its default is not allowed", k.Path)
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

func TestParseSettingsAcceptsValidFiles(t *testing.T) {
	for name, text := range map[string]string{
		"plain": validSettings, "CRLF": strings.ReplaceAll(validSettings, "\n", "\r\n"), "byte order mark": "\ufeff" + validSettings,
		"long list": strings.Replace(validSettings, "[callers]\nhead_time = \"1s\"\nalso_listen = [\"127.0.0.1:9001\", \"[::1]:9000\"]\n",
			"", 1) + "[callers]\nhead_time = \"1s\"\nalso_listen = [\n \"127.0.0.1:9001\", # one\n \"[::1]:9000\",\n]\n",
	} {
		s, bad := ParseSettings("f", []byte(text))
		if len(bad) > 0 {
			t.Errorf("%s: %v", name, bad)
			continue
		}
		k := s.Classes["place-order"]
		if s.Callers.HeadTimeout != time.Second || len(s.Callers.ExtraListenAddresses) != 2 || k == nil || k.TargetLatency != 1540*time.Millisecond ||
			k.Semantics != "keyed" || k.MaxRetries == nil || *k.MaxRetries != 0 || k.Hedging == nil || !*k.Hedging {
			t.Errorf("%s: %+v", name, s)
		}
		if at, ok := s.KeyPosition("class.place-order.wanted"); name == "CRLF" && (!ok || at != (Position{14, 1})) {
			t.Errorf("%s: wanted is at %v", name, at)
		}
	}
	text := "schema = 1\napplication = { name = \"a\" }\nclass.x = { wanted = \"1s\" }\nclass.y.wanted = \"2s\"\nlimits.cores = 1\n"
	s, bad := ParseSettings("f", []byte(text))
	if len(bad) > 0 || s.Classes["x"].TargetLatency != time.Second || s.Classes["y"].TargetLatency != 2*time.Second || s.Limits.Cores != 1 {
		t.Errorf("%v %+v", bad, s)
	}
}

// All that is wrong is said at once, each with its place, what was found and what is allowed.
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
	_, bad := ParseSettings("f.toml", []byte(text))
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
	for i := range max(len(bad), len(want)) {
		var g, w string
		if i < len(bad) {
			g = bad[i].String()
		}
		if i < len(want) {
			w = want[i]
		}
		if g != w {
			t.Errorf("finding %d:\n got %s\nwant %s", i, g, w)
		}
	}
}

// What a hostile or broken file may hold is refused, by the right rule, and does no harm.
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
		_, bad := ParseSettings("f", []byte(c.text))
		if len(bad) == 0 || len(bad) > maxFindings || bad[0].Rule != c.rule {
			t.Errorf("%s: %.200v, want %s", name, bad, c.rule)
		}
		if c.rule == RuleSchemaVersion && (len(bad) != 1 || !strings.Contains(bad[0].String(), "newer program")) {
			t.Errorf("%s: %v", name, bad)
		}
	}
}

func manyClasses(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[class.c%d]\n", i)
	}
	return b.String()
}

// After an error of syntax the rest is still looked at, from the next table on.
func TestParseSettingsContinuesAfterSyntaxError(t *testing.T) {
	_, bad := ParseSettings("f", []byte("schema = 1\n[callers]\nhead_time = = 1\nidle_time = 1\n[probe]\npath = \"load\"\n"))
	if len(bad) != 2 || bad[0].Rule != RuleSyntax || bad[0].Line != 3 || bad[1].Key != "probe.path" || bad[1].Line != 6 {
		t.Errorf("%v", bad)
	}
}

// modifiedFile is a file that changes while it is read.
type modifiedFile struct {
	fs.File
	infos []fs.FileInfo
}

func (f *modifiedFile) Stat() (fs.FileInfo, error) {
	info := f.infos[0]
	f.infos = f.infos[1:]
	return info, nil
}

// A file that is written in place as it is read is not taken: it may be torn.
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
		whole         bool
	}{{"f", "f", true}, {"f", "longer", false}, {"longer", "f", false}, {"f", "later", false}, {"longer", "longer", false}} {
		f, err := files.Open("f")
		if err != nil {
			t.Fatal(err)
		}
		text, whole, err := readAndCompare(&modifiedFile{f, []fs.FileInfo{stat(c.before), stat(c.after)}}, 100)
		if err != nil || whole != c.whole || string(text) != "half" {
			t.Errorf("%s then %s: %q, whole %v, %v", c.before, c.after, text, whole, err)
		}
	}
}

// A file that is replaced by renames is always read whole, as one or the other.
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

func TestLoadSettingsReportsUnreadableFile(t *testing.T) {
	dir := t.TempDir()
	long := filepath.Join(dir, "long")
	if err := os.WriteFile(long, make([]byte, 10<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{
		filepath.Join(dir, "none"): "no such file", dir: "not a regular file", long: "too long",
	} {
		if _, bad := LoadSettings(name); len(bad) != 1 || bad[0].Rule != RuleUnreadable || !strings.Contains(bad[0].Found, want) {
			t.Errorf("%s: %v", name, bad)
		}
	}
}

// A file as it is written says what the settings do.
func TestFormatSettingsRoundTrip(t *testing.T) {
	s, bad := ParseSettings("f", []byte(validSettings))
	if len(bad) > 0 {
		t.Fatal(bad)
	}
	text := FormatSettings(s)
	again, bad := ParseSettings("again", text)
	if len(bad) > 0 {
		t.Fatalf("%v\n%s", bad, text)
	}
	if d := Diff(s.Values(), again.Values()); len(d) > 0 {
		t.Errorf("written and read again: %v", d)
	}
	for _, k := range Keys() {
		if name := k.Path[strings.LastIndex(k.Path, ".")+1:]; !k.IsTable && !bytes.Contains(text, []byte("\n"+name+" =")) &&
			!bytes.Contains(text, []byte("\n#"+name+" =")) {
			t.Errorf("%s is not in the file", k.Path)
		}
	}
}

func TestDiffComparesEffectiveValues(t *testing.T) {
	read := func(text string) []Value {
		s, bad := ParseSettings("f", []byte(text))
		if len(bad) > 0 {
			t.Fatal(bad)
		}
		return s.Values()
	}
	other := strings.NewReplacer(`"1540ms"`, `"1.54s"`, `"1s"`, `"1000ms"`, "retries = 0", "retries = 1").Replace(validSettings)
	other = strings.Replace(other, "second_copies = true\n", "", 1) + "[probe]\ntime = \"250ms\"\n"
	got := fmt.Sprint(Diff(read(validSettings), read(other)))
	if want := "[class.place-order.retries: 0 -> 1 class.place-order.second_copies: true -> (not set)]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

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

// Whatever the text, reading ends with settings or with findings that have a place in it.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add(FormatSettings(DefaultSettings()))
	f.Add([]byte("schema = 1\n[class.a]\nwanted = { x = [1, { y = 2 }] }\n[[callers]]\n"))
	f.Add([]byte("class.\"\\u0000\".wanted = '''\n\n'''\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, bad := ParseSettings("f", text)
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, b := range bad {
			if b.Rule == "" || b.Level != LevelRefused || b.Line > lines || b.Found == "" || strings.ContainsAny(b.String(), "\n\x00") {
				t.Errorf("%+v", b)
			}
		}
		if len(bad) > 0 {
			return
		}
		checkSameKeysAsBurntSushi(t, "f", text, s)
		again, bad := ParseSettings("again", FormatSettings(s))
		if len(bad) > 0 || len(Diff(s.Values(), again.Values())) > 0 {
			t.Errorf("written and read again: %v %v\n%s", bad, Diff(s.Values(), again.Values()), FormatSettings(s))
		}
	})
}
