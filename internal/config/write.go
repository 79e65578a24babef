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
	var w writer
	w.comment("", "The operators' file of barleydrum. docs/operators/settings.md lists every key and rule;\n"+
		"`drumctl config check FILE` tells what is wrong with a file before a sidecar meets it.")
	w.values = make(map[string]string)
	for _, v := range s.Values() {
		w.values[v.Path] = v.Text
	}
	w.part(reflect.ValueOf(s).Elem(), "")
	return []byte(w.String())
}

type writer struct {
	strings.Builder
	values map[string]string
}

// comment writes a text as comment lines of moderate length.
func (w *writer) comment(indent, text string) {
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

func (w *writer) part(part reflect.Value, prefix string) {
	t := part.Type()
	for i := range t.NumField() { // a table's own keys come before its parts
		if f := t.Field(i); f.Tag.Get("key") != "" && f.Type.Kind() != reflect.Struct && f.Type.Kind() != reflect.Map {
			w.key(f, prefix)
		}
	}
	for i := range t.NumField() {
		f := t.Field(i)
		key := f.Tag.Get("key")
		switch {
		case key == "":
		case f.Type.Kind() == reflect.Struct:
			w.header(f.Tag.Get("doc"), key)
			w.part(part.Field(i), key+".")
		case f.Type.Kind() == reflect.Map:
			for _, name := range sortedKeys(part.Field(i)) {
				path := key + "." + quoteKey(name)
				w.header(f.Tag.Get("doc"), path)
				w.part(part.Field(i).MapIndex(reflect.ValueOf(name)).Elem(), path+".")
			}
		}
	}
}

func (w *writer) header(doc, path string) {
	w.WriteString("\n")
	w.comment("", doc)
	fmt.Fprintf(w, "[%s]\n", path)
}

// key writes a key, or where its value is the default or not set a comment in its place.
func (w *writer) key(f reflect.StructField, prefix string) {
	k := keyOf(f)
	w.WriteString("\n")
	w.comment("", k.Doc)
	about := "Allowed: " + k.Allowed() + "."
	if text := cmp.Or(k.UnsetMeaning, k.Default); text != "" && !k.Required {
		about += " Left out: " + text + "."
	}
	if k.Reloadable {
		about += " SIGHUP changes it."
	}
	w.comment("", about)
	text, set := w.values[prefix+k.Path]
	isDefault := false
	if k.Default != "" {
		d := reflect.New(f.Type).Elem()
		if err := scalar(d, k.Default); err == nil {
			isDefault = text == valueText(d)
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
