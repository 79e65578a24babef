package config

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"

	burntsushi "github.com/BurntSushi/toml"
)

// flattenKeys lists the keys of a document that have a value, as our decoder writes them.
func flattenKeys(v map[string]any, prefix string, out map[string]any) map[string]any {
	for name, x := range v {
		path := prefix + quoteKey(name)
		if table, ok := x.(map[string]any); ok {
			flattenKeys(table, path+".", out)
			continue
		}
		out[path] = x
	}
	return out
}

// checkSameKeysAsBurntSushi checks that another reader of TOML, by other hands, finds the same keys with values in
// a text that we accept.
func checkSameKeysAsBurntSushi(t *testing.T, name string, text []byte, s *Settings) {
	t.Helper()
	var doc map[string]any
	if err := burntsushi.Unmarshal(bytes.TrimPrefix(text, []byte("\ufeff")), &doc); err != nil {
		t.Errorf("%s: we accept what another reader does not: %v", name, err)
		return
	}
	theirs := flattenKeys(doc, "", make(map[string]any))
	ours := make(map[string]any)
	for path := range s.keyPositions {
		if _, part := theirs[path]; part || !isTable(path) {
			ours[path] = nil
		}
	}
	if x, y := slices.Sorted(maps.Keys(ours)), slices.Sorted(maps.Keys(theirs)); !slices.Equal(x, y) {
		t.Errorf("%s: we read %q, another reader %q", name, x, y)
	}
}

// isTable tells whether a key is a part of the file: [callers], or [class.NAME].
func isTable(path string) bool {
	if path == "class" || strings.HasPrefix(path, "class.") && !slices.ContainsFunc(Keys(), func(k Key) bool {
		return strings.HasPrefix(k.Path, "class.NAME.") && strings.HasSuffix(path, strings.TrimPrefix(k.Path, "class.NAME"))
	}) {
		return true
	}
	return slices.ContainsFunc(Keys(), func(k Key) bool { return k.IsTable && k.Path == path })
}

func TestParseSettingsFindsSameKeysAsBurntSushi(t *testing.T) {
	s, _ := ParseSettings("good", []byte(validSettings))
	for name, text := range map[string][]byte{
		"good": []byte(validSettings), "CRLF": []byte(strings.ReplaceAll(validSettings, "\n", "\r\n")), "written": FormatSettings(s), "template": FormatSettings(DefaultSettings()),
		"inline": []byte("schema = 1\napplication = { name = \"a\" }\nclass.x = { wanted = \"1s\" }\nclass.y.wanted = \"2s\"\n"),
		"quoted": []byte("schema = 1\n[\"application\"]\n'name' = \"a\"\n[class.\"a.b\"]\n\"wanted\" = '''1s'''\n"),
	} {
		s, bad := ParseSettings(name, text)
		if name == "template" { // it lacks a name, which is needed
			bad = nil
		}
		if len(bad) > 0 {
			t.Errorf("%s: %v", name, bad)
			continue
		}
		checkSameKeysAsBurntSushi(t, name, text, s)
	}
}
