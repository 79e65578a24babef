package config

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"

	burntsushi "github.com/BurntSushi/toml"
)

// flattenKeys adds the keys of a document that have a value to values, by their paths as
// ParseSettings writes them, and returns values.
func flattenKeys(document map[string]any, prefix string, values map[string]any) map[string]any {
	for name, value := range document {
		path := prefix + quoteKey(name)
		if table, ok := value.(map[string]any); ok {
			flattenKeys(table, path+".", values)
			continue
		}
		values[path] = value
	}
	return values
}

// checkSameKeysAsBurntSushi checks that the BurntSushi TOML parser, an independent implementation, finds the
// same keys with values in a text that ParseSettings accepts.
func checkSameKeysAsBurntSushi(t *testing.T, name string, text []byte, s *Settings) {
	t.Helper()
	var document map[string]any
	if err := burntsushi.Unmarshal(bytes.TrimPrefix(text, []byte("\ufeff")), &document); err != nil {
		t.Errorf("%s: accepted, but BurntSushi returns: %v", name, err)
		return
	}
	burntsushiKeys := flattenKeys(document, "", make(map[string]any))
	parsedKeys := make(map[string]any)
	for path := range s.keyPositions {
		if _, hasValue := burntsushiKeys[path]; hasValue || !isTable(path) {
			parsedKeys[path] = nil
		}
	}
	if got, want := slices.Sorted(maps.Keys(parsedKeys)), slices.Sorted(maps.Keys(burntsushiKeys)); !slices.Equal(got, want) {
		t.Errorf("%s: keys %q, BurntSushi finds %q", name, got, want)
	}
}

// isTable reports whether a path is a table of the file, such as [callers] or [class.NAME].
func isTable(path string) bool {
	if path == "class" || strings.HasPrefix(path, "class.") && !slices.ContainsFunc(Keys(), func(k Key) bool {
		return strings.HasPrefix(k.Path, "class.NAME.") && strings.HasSuffix(path, strings.TrimPrefix(k.Path, "class.NAME"))
	}) {
		return true
	}
	return slices.ContainsFunc(Keys(), func(k Key) bool { return k.IsTable && k.Path == path })
}

// If the decoder and a TOML parser disagreed on a document's structure, a value could be read under
// another key than its author meant. The texts cover the ways in which TOML writes keys and tables.
func TestParseSettingsFindsSameKeysAsBurntSushi(t *testing.T) {
	s, _ := ParseSettings("good", []byte(validSettings))
	for name, text := range map[string][]byte{
		"good": []byte(validSettings), "CRLF": []byte(strings.ReplaceAll(validSettings, "\n", "\r\n")), "written": FormatSettings(s), "template": FormatSettings(DefaultSettings()),
		"inline": []byte("schema = 1\napplication = { name = \"a\" }\nclass.x = { wanted = \"1s\" }\nclass.y.wanted = \"2s\"\n"),
		"quoted": []byte("schema = 1\n[\"application\"]\n'name' = \"a\"\n[class.\"a.b\"]\n\"wanted\" = '''1s'''\n"),
	} {
		s, findings := ParseSettings(name, text)
		if name == "template" { // the default settings lack application.name, which is required
			findings = nil
		}
		if len(findings) > 0 {
			t.Errorf("%s: %v", name, findings)
			continue
		}
		checkSameKeysAsBurntSushi(t, name, text, s)
	}
}
