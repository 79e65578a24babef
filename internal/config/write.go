package config

import (
	"cmp"
	"fmt"
	"reflect"
	"strings"
)

// FormatSettings writes settings as an operators' file, with a comment on each key. What has its
// default stands as a comment. Reading the file again gives the same settings.
func FormatSettings(s *Settings) []byte {
	var w fileWriter
	w.writeComment("", "The operators' file of barleydrum. docs/operators/settings.md lists every key and rule;\n"+
		"`drumctl config check FILE` tells what is wrong with a file before a sidecar meets it.")
	w.valueTexts = make(map[string]string)
	for _, v := range s.Values() {
		w.valueTexts[v.Path] = v.Text
	}
	w.writeTable(reflect.ValueOf(s).Elem(), "")
	return []byte(w.String())
}

type fileWriter struct {
	strings.Builder
	valueTexts map[string]string
}

// writeComment writes a text as comment lines of moderate length.
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

func (w *fileWriter) writeTable(part reflect.Value, prefix string) {
	t := part.Type()
	for i := range t.NumField() { // a table's own keys come before its parts
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
			w.writeTable(part.Field(i), key+".")
		case f.Type.Kind() == reflect.Map:
			for _, name := range sortedKeys(part.Field(i)) {
				path := key + "." + quoteKey(name)
				w.writeTableHeader(f.Tag.Get("doc"), path)
				w.writeTable(part.Field(i).MapIndex(reflect.ValueOf(name)).Elem(), path+".")
			}
		}
	}
}

func (w *fileWriter) writeTableHeader(doc, path string) {
	w.WriteString("\n")
	w.writeComment("", doc)
	fmt.Fprintf(w, "[%s]\n", path)
}

// writeKey writes a key, or where its value is the default or not set a comment in its place.
func (w *fileWriter) writeKey(f reflect.StructField, prefix string) {
	k := keyFromField(f)
	w.WriteString("\n")
	w.writeComment("", k.Doc)
	about := "Allowed: " + k.Allowed() + "."
	if text := cmp.Or(k.UnsetMeaning, k.Default); text != "" && !k.Required {
		about += " Left out: " + text + "."
	}
	if k.Reloadable {
		about += " SIGHUP changes it."
	}
	w.writeComment("", about)
	text, set := w.valueTexts[prefix+k.Path]
	isDefault := false
	if k.Default != "" {
		d := reflect.New(f.Type).Elem()
		if err := setScalar(d, k.Default); err == nil {
			isDefault = text == formatValue(d)
		}
	}
	switch {
	case set && !isDefault:
		fmt.Fprintf(w, "%s = %s\n", k.Path, text)
	case set:
		fmt.Fprintf(w, "#%s = %s\n", k.Path, text)
	default:
		fmt.Fprintf(w, "#%s =\n", k.Path)
	}
}

// KeyReference is the list of parts and keys as a page in Markdown.
func KeyReference() string {
	var b strings.Builder
	row := func(k Key) {
		left := cmp.Or(k.Default, k.UnsetMeaning)
		if k.Required {
			left = "needed"
		}
		when := "restart"
		if k.Reloadable {
			when = "SIGHUP"
		}
		name := k.Path[strings.LastIndex(k.Path, ".")+1:]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", name, k.Allowed(), cmp.Or(left, "none"), when, k.Doc)
	}
	head := func() {
		b.WriteString("\n| key | allowed | left out | read | meaning |\n| --- | --- | --- | --- | --- |\n")
	}
	b.WriteString("### The top\n")
	head()
	for _, k := range Keys() {
		if k.IsTable {
			fmt.Fprintf(&b, "\n### `[%s]`\n\n%s\n", k.Path, k.Doc)
			head()
			continue
		}
		row(k)
	}
	return b.String()
}
