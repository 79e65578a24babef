package config

import (
	"cmp"
	"fmt"
	"reflect"
	"strings"
)

// FormatSettings returns settings as the text of an operators' file, with a comment on each key. Keys
// that are not set or have their default value are commented out. Parsing the text returns the same
// settings.
func FormatSettings(s *Settings) []byte {
	var w fileWriter
	w.writeComment("", "The operators' file of barleydrum. docs/operators/settings.md lists every key and rule;\n"+
		"`drumctl config check FILE` reports the errors in a file before a sidecar reads it.")
	w.valueTexts = make(map[string]string)
	for _, v := range s.Values() {
		w.valueTexts[v.Path] = v.Text
	}
	w.writeTable(reflect.ValueOf(s).Elem(), "")
	return []byte(w.String())
}

// fileWriter builds the text of an operators' file.
type fileWriter struct {
	strings.Builder
	valueTexts map[string]string // the values that are set or have a default, as TOML, by path
}

// writeComment writes text as comment lines, broken at spaces to at most 92 bytes of text.
func (w *fileWriter) writeComment(indent, text string) {
	for _, line := range strings.Split(text, "\n") {
		for line != "" {
			cut := len(line)
			if cut > 92 {
				cut = strings.LastIndex(line[:92], " ")
				if cut <= 0 {
					cut = 92
				}
			}
			fmt.Fprintf(w, "# %s%s\n", indent, line[:cut])
			line = strings.TrimPrefix(line[cut:], " ")
		}
	}
}

// writeTable writes the keys of a table and then the tables in it. The prefix is the table's path with
// a dot, or empty for the whole file.
func (w *fileWriter) writeTable(table reflect.Value, prefix string) {
	t := table.Type()
	for i := range t.NumField() { // a table's own keys come before its subtables' headers, as TOML requires
		if f := t.Field(i); f.Tag.Get("key") != "" && f.Type.Kind() != reflect.Struct && f.Type.Kind() != reflect.Map {
			w.writeKey(f, prefix)
		}
	}
	for i := range t.NumField() {
		f := t.Field(i)
		key := f.Tag.Get("key")
		switch {
		case key == "":
		case f.Type.Kind() == reflect.Struct:
			w.writeTableHeader(f.Tag.Get("doc"), key)
			w.writeTable(table.Field(i), key+".")
		case f.Type.Kind() == reflect.Map:
			for _, name := range sortedKeys(table.Field(i)) {
				path := key + "." + quoteKey(name)
				w.writeTableHeader(f.Tag.Get("doc"), path)
				w.writeTable(table.Field(i).MapIndex(reflect.ValueOf(name)).Elem(), path+".")
			}
		}
	}
}

// writeTableHeader writes a table's description and header.
func (w *fileWriter) writeTableHeader(doc, path string) {
	w.WriteString("\n")
	w.writeComment("", doc)
	fmt.Fprintf(w, "[%s]\n", path)
}

// writeKey writes a key with its description. A key that is not set or has its default value is
// commented out.
func (w *fileWriter) writeKey(f reflect.StructField, prefix string) {
	k := keyFromField(f)
	w.WriteString("\n")
	w.writeComment("", k.Doc)
	constraints := "Allowed: " + k.Allowed() + "."
	if unset := cmp.Or(k.UnsetMeaning, k.Default); unset != "" && !k.Required {
		constraints += " If not set: " + unset + "."
	}
	if k.Reloadable {
		constraints += " SIGHUP changes it."
	}
	w.writeComment("", constraints)
	text, isSet := w.valueTexts[prefix+k.Path]
	isDefault := false
	if k.Default != "" {
		defaultValue := reflect.New(f.Type).Elem()
		if err := setScalar(defaultValue, k.Default); err == nil {
			isDefault = text == formatValue(defaultValue)
		}
	}
	switch {
	case isSet && !isDefault:
		fmt.Fprintf(w, "%s = %s\n", k.Path, text)
	case isSet:
		fmt.Fprintf(w, "#%s = %s\n", k.Path, text)
	default:
		fmt.Fprintf(w, "#%s =\n", k.Path)
	}
}

// KeyReference returns the reference of all tables and keys in Markdown.
func KeyReference() string {
	var b strings.Builder
	writeRow := func(k Key) {
		unset := cmp.Or(k.Default, k.UnsetMeaning)
		if k.Required {
			unset = "required"
		}
		takesEffect := "restart"
		if k.Reloadable {
			takesEffect = "SIGHUP"
		}
		name := k.Path[strings.LastIndex(k.Path, ".")+1:]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", name, k.Allowed(), cmp.Or(unset, "none"), takesEffect, k.Doc)
	}
	writeTableHead := func() {
		b.WriteString("\n| key | allowed | left out | read | meaning |\n| --- | --- | --- | --- | --- |\n")
	}
	b.WriteString("### The top\n")
	writeTableHead()
	for _, k := range Keys() {
		if k.IsTable {
			fmt.Fprintf(&b, "\n### `[%s]`\n\n%s\n", k.Path, k.Doc)
			writeTableHead()
			continue
		}
		writeRow(k)
	}
	return b.String()
}
