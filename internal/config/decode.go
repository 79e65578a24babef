package config

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFindings bounds what is said of one file.
const maxFindings = 100

// ParseSettings reads the text of an operators' file, which findings call by its name. It
// finds all that is wrong with the text and its values at once; what the values mean together
// is for internal/check. With a finding, the settings are not to be used.
//
// The library's decoder stops at the first wrong value and knows no bounds, so the schema is
// walked beside its parser; what a valid document is stays the library's word.
func ParseSettings(file string, text []byte) (*Settings, []Finding) {
	d := &decoder{file: file, out: DefaultSettings(), seen: make(map[string]Position)}
	d.out.given = d.seen
	if len(text) > MaxSettingsBytes {
		d.add(Finding{Rule: RuleUnreadable, Found: fmt.Sprintf("%d bytes", len(text)), Allowed: Size(MaxSettingsBytes).String() + " at most"})
		return d.out, d.findings
	}
	// Editors of some systems put a byte order mark first, which is no part of the document.
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	d.text = slices.Clip(text)
	for at, c := range d.text {
		if c == '\n' {
			d.lines = append(d.lines, at+1)
		}
	}
	if at := invalid(d.text); at >= 0 {
		d.addAt(d.position(at), Finding{Rule: RuleSyntax, Found: fmt.Sprintf("byte 0x%02x", d.text[at]), Allowed: "UTF-8 text"})
		return d.out, d.findings
	}
	d.document()
	if at, ok := d.seen["schema"]; ok && d.out.SchemaVersion > SchemaVersion {
		d.newer(at)
		return d.out, d.findings
	}
	if len(d.findings) == 0 { // tables mixed in ways that the walk does not follow
		var any map[string]any
		var bad *toml.DecodeError
		if err := toml.Unmarshal(d.text, &any); errors.As(err, &bad) {
			line, column := bad.Position()
			d.addAt(Position{line, column}, Finding{Rule: RuleSyntax, Found: strings.TrimPrefix(bad.Error(), "toml: "), Allowed: "TOML 1.0"})
		} else if err != nil {
			d.add(Finding{Rule: RuleSyntax, Found: err.Error(), Allowed: "TOML 1.0"})
		}
	}
	if len(d.findings) == 0 {
		d.missing(reflect.ValueOf(d.out).Elem(), "")
	}
	return d.out, d.findings
}

// LoadSettings reads an operators' file.
func LoadSettings(path string) (*Settings, []Finding) {
	text, err := ReadFile(path, MaxSettingsBytes)
	if err != nil {
		f := Finding{Rule: RuleUnreadable, Level: LevelRefused, File: path, Found: err.Error()}
		if errors.Is(err, ErrFileTooLarge) {
			f.Allowed = Size(MaxSettingsBytes).String() + " at most"
		}
		return DefaultSettings(), []Finding{f}
	}
	return ParseSettings(path, text)
}

func invalid(text []byte) int {
	for at := 0; at < len(text); {
		r, n := utf8.DecodeRune(text[at:])
		if r == utf8.RuneError && n <= 1 {
			return at
		}
		at += n
	}
	return -1
}

type decoder struct {
	file     string
	text     []byte
	lines    []int // where lines begin, but for the first
	parser   unstable.Parser
	base     int // where the parser's text begins in the whole
	out      *Settings
	seen     map[string]Position
	findings []Finding
}

func (d *decoder) add(f Finding) {
	f.File, f.Level = d.file, LevelRefused
	if len(d.findings) < maxFindings {
		d.findings = append(d.findings, f)
	}
}

func (d *decoder) addAt(at Position, f Finding) {
	f.Position = at
	d.add(f)
}

// position is the place of an offset in the text.
func (d *decoder) position(offset int) Position {
	line := sort.SearchInts(d.lines, offset+1)
	begin := 0
	if line > 0 {
		begin = d.lines[line-1]
	}
	return Position{line + 1, offset - begin + 1}
}

// document walks the text. After an error of syntax it goes on at the next header of a table.
func (d *decoder) document() {
	for d.base <= len(d.text) {
		d.parser.Reset(d.text[d.base:])
		var table []part
		known := d.base == 0 // of what comes before the first header after an error, nothing
		for d.parser.NextExpression() {
			e := d.parser.Expression()
			switch e.Kind {
			case unstable.Table, unstable.ArrayTable:
				table = d.parts(e.Key())
				known = d.header(table, e.Kind == unstable.ArrayTable)
			case unstable.KeyValue:
				if known {
					d.keyValue(table, e)
				}
			}
			if len(d.findings) >= maxFindings {
				return
			}
		}
		var bad *unstable.ParserError
		if !errors.As(d.parser.Error(), &bad) {
			return
		}
		offset := len(d.text)
		if len(bad.Highlight) > 0 {
			offset = d.base + int(d.parser.Range(bad.Highlight).Offset)
		}
		found := "the end of the file"
		if offset < len(d.text) {
			found = fmt.Sprintf("%.40q", firstLine(d.text[offset:]))
		}
		d.addAt(d.position(offset), Finding{Rule: RuleSyntax, Found: found, Allowed: "TOML 1.0", Reason: bad.Message})
		next := bytes.Index(d.text[min(offset, len(d.text)):], []byte("\n["))
		if next < 0 {
			return
		}
		d.base = offset + next + 1
	}
}

func firstLine(text []byte) []byte {
	line, _, _ := bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// part is a part of a dotted key.
type part struct {
	name string
	at   Position
}

func (d *decoder) parts(it unstable.Iterator) []part {
	var out []part
	for it.Next() {
		n := it.Node()
		out = append(out, part{string(n.Data), d.position(d.base + int(n.Raw.Offset))})
	}
	return out
}

// quoteKey writes a part of a key as TOML does.
func quoteKey(name string) string {
	bare := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
	}
	if name != "" && strings.IndexFunc(name, func(r rune) bool { return !bare(r) }) < 0 {
		return name
	}
	return strconv.Quote(name)
}

func join(parts []part) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = quoteKey(p.name)
	}
	return strings.Join(names, ".")
}

// header takes a table's header, and tells whether what follows belongs to the settings.
func (d *decoder) header(key []part, array bool) bool {
	path, last := join(key), key[len(key)-1]
	to, ok := d.walk(key)
	if !ok {
		return false
	}
	if array || to.Kind() != reflect.Struct && to.Kind() != reflect.Map {
		d.addAt(last.at, Finding{Rule: RuleWrongType, Key: path, Found: "a table", Allowed: d.allowed(key)})
		return false
	}
	if first, ok := d.seen[path]; ok {
		d.duplicate(last.at, path, first)
		return false
	}
	d.seen[path] = last.at
	return true
}

func (d *decoder) duplicate(at Position, path string, first Position) {
	d.addAt(at, Finding{
		Rule: RuleDuplicate, Key: path, Found: fmt.Sprintf("given again, first in line %d", first.Line), Allowed: "once",
	})
}

// allowed is what the value of a key may be, in words.
func (d *decoder) allowed(key []part) string {
	path := join(key)
	if len(key) > 1 && key[0].name == "class" {
		path = "class.NAME"
		if len(key) > 2 {
			path += "." + join(key[2:])
		}
	}
	for _, k := range Keys() {
		if k.Path == path {
			return k.Allowed()
		}
	}
	return "a part of the file, [" + path + "]"
}

// walk goes down a key from the top of the settings. A class that is new to it is added.
func (d *decoder) walk(key []part) (reflect.Value, bool) {
	at := reflect.ValueOf(d.out).Elem()
	for i, p := range key {
		path := join(key[:i+1])
		switch at.Kind() {
		case reflect.Map:
			if err := checkText("name", p.name); err != nil {
				d.addAt(p.at, Finding{Rule: RuleOutOfRange, Key: path, Found: strconv.Quote(p.name), Allowed: "a name"})
				return at, false
			}
			if at.IsNil() {
				at.Set(reflect.MakeMap(at.Type()))
			}
			name := reflect.ValueOf(p.name)
			if !at.MapIndex(name).IsValid() {
				if at.Len() >= maxClasses {
					d.addAt(p.at, Finding{Rule: RuleOutOfRange, Key: path, Found: "one more", Allowed: fmt.Sprintf("%d at most", maxClasses)})
					return at, false
				}
				at.SetMapIndex(name, reflect.New(at.Type().Elem().Elem()))
				if i+1 < len(key) {
					d.seen[path] = p.at
				}
			}
			at = at.MapIndex(name).Elem()
		case reflect.Struct:
			f, ok := find(at.Type(), p.name)
			if !ok {
				d.unknown(at.Type(), p, path)
				return at, false
			}
			at = at.FieldByIndex(f.Index)
		default:
			d.addAt(p.at, Finding{Rule: RuleWrongType, Key: join(key[:i]), Found: "a table", Allowed: d.allowed(key[:i])})
			return at, false
		}
	}
	return at, true
}

func (d *decoder) unknown(in reflect.Type, p part, path string) {
	f := Finding{Rule: RuleUnknownKey, Key: path, Found: quoteKey(p.name), Allowed: strings.Join(names(in), ", ")}
	if near := nearest(p.name, names(in)); near != "" {
		f.Fix = "did you mean " + near + "?"
	}
	d.addAt(p.at, f)
}

// keyValue takes a key and its value below a table.
func (d *decoder) keyValue(table []part, e *unstable.Node) {
	key := d.parts(e.Key())
	full := append(slices.Clone(table), key...)
	to, ok := d.walk(full)
	if !ok {
		return
	}
	path, last := join(full), full[len(full)-1]
	if to.Kind() == reflect.Struct || to.Kind() == reflect.Map {
		if e.Value().Kind != unstable.InlineTable {
			d.addAt(last.at, Finding{Rule: RuleWrongType, Key: path, Found: d.found(e.Value()), Allowed: d.allowed(full)})
			return
		}
		if first, ok := d.seen[path]; ok {
			d.duplicate(last.at, path, first)
			return
		}
		d.seen[path] = last.at
		for it := e.Value().Children(); it.Next(); {
			d.keyValue(full, it.Node())
		}
		return
	}
	if first, ok := d.seen[path]; ok {
		d.duplicate(last.at, path, first)
		return
	}
	d.seen[path] = last.at
	d.value(to, full, e.Value())
}

// found is a value as the file has it, shortened.
func (d *decoder) found(n *unstable.Node) string {
	switch n.Kind {
	case unstable.Array:
		return "a list"
	case unstable.InlineTable:
		return "a table"
	}
	raw := string(d.parser.Raw(n.Raw))
	if len(raw) > 60 {
		return strconv.Quote(raw[:60]) + "..."
	}
	if strings.ContainsFunc(raw, unicode.IsControl) { // a finding is one line
		return strconv.Quote(raw)
	}
	return raw
}

// value reads a value into its field.
func (d *decoder) value(to reflect.Value, key []part, n *unstable.Node) {
	f, ok := d.field(key)
	if !ok {
		return
	}
	k := keyOf(f)
	path, at := join(key), key[len(key)-1].at
	if n.Kind != unstable.Array && n.Kind != unstable.InlineTable {
		at = d.position(d.base + int(n.Raw.Offset))
	}
	wrong := func(rule, allowed string) {
		d.addAt(at, Finding{Rule: rule, Key: path, Found: d.found(n), Allowed: allowed})
	}
	if to.Kind() == reflect.Pointer {
		to.Set(reflect.New(to.Type().Elem()))
		to = to.Elem()
	}
	isText := n.Kind == unstable.String
	switch {
	case to.Type() == timeType, to.Type() == sizeType:
		if !isText {
			wrong(RuleWrongType, k.Allowed()+", in quotes and with a unit")
		} else if err := scalar(to, string(n.Data)); err != nil {
			wrong(RuleOutOfRange, k.Allowed())
		} else if !inRange(to, k) {
			wrong(RuleOutOfRange, k.Allowed())
		}
	case to.Kind() == reflect.Int:
		v, err := strconv.ParseInt(strings.ReplaceAll(string(n.Data), "_", ""), 0, 64)
		if n.Kind != unstable.Integer {
			wrong(RuleWrongType, k.Allowed())
		} else if to.SetInt(v); err != nil || !inRange(to, k) {
			wrong(RuleOutOfRange, k.Allowed())
		}
	case to.Kind() == reflect.Float64:
		v, err := strconv.ParseFloat(strings.ReplaceAll(string(n.Data), "_", ""), 64)
		if n.Kind != unstable.Integer && n.Kind != unstable.Float {
			wrong(RuleWrongType, k.Allowed())
		} else if to.SetFloat(v); err != nil || !inRange(to, k) {
			wrong(RuleOutOfRange, k.Allowed())
		}
	case to.Kind() == reflect.Bool:
		if n.Kind != unstable.Bool {
			wrong(RuleWrongType, k.Allowed())
		}
		to.SetBool(string(n.Data) == "true")
	case to.Kind() == reflect.String:
		text := string(n.Data)
		if !isText {
			wrong(RuleWrongType, k.Allowed()+", in quotes")
		} else if len(k.Choices) > 0 && !slices.Contains(k.Choices, text) {
			f := Finding{Rule: RuleOutOfRange, Key: path, Found: d.found(n), Allowed: k.Allowed()}
			if near := nearest(text, k.Choices); near != "" {
				f.Fix = "did you mean " + strconv.Quote(near) + "?"
			}
			d.addAt(at, f)
		} else if checkText(f.Tag.Get("kind"), text) != nil {
			wrong(RuleOutOfRange, k.Allowed())
		}
		to.SetString(text)
	case to.Kind() == reflect.Slice:
		d.list(to, f, key, n)
	}
}

// field is the schema's field of a key.
func (d *decoder) field(key []part) (reflect.StructField, bool) {
	t := reflect.TypeFor[Settings]()
	var f reflect.StructField
	for i, p := range key {
		if t.Kind() == reflect.Map {
			t = t.Elem().Elem()
			continue
		}
		var ok bool
		if f, ok = find(t, p.name); !ok {
			return f, false
		}
		if t = f.Type; i == len(key)-1 {
			return f, true
		}
	}
	return f, false
}

// maxList is the most elements of a list, maxClasses the most classes.
const maxList, maxClasses = 64, 256

// list reads a list of strings.
func (d *decoder) list(to reflect.Value, f reflect.StructField, key []part, n *unstable.Node) {
	path, at, allowed := join(key), key[len(key)-1].at, typeName(f)
	if n.Kind != unstable.Array {
		d.addAt(at, Finding{Rule: RuleWrongType, Key: path, Found: d.found(n), Allowed: allowed})
		return
	}
	var out []string
	for it := n.Children(); it.Next(); {
		e := it.Node()
		text := string(e.Data)
		switch {
		case e.Kind != unstable.String:
			d.addAt(at, Finding{Rule: RuleWrongType, Key: path, Found: d.found(e), Allowed: allowed})
		case checkText(f.Tag.Get("kind"), text) != nil:
			d.addAt(at, Finding{Rule: RuleOutOfRange, Key: path, Found: d.found(e), Allowed: allowed})
		case slices.Contains(out, text):
			d.addAt(at, Finding{Rule: RuleDuplicate, Key: path, Found: d.found(e) + " twice", Allowed: "once"})
		}
		if out = append(out, text); len(out) > maxList {
			d.addAt(at, Finding{Rule: RuleOutOfRange, Key: path, Found: "a longer list", Allowed: fmt.Sprintf("%d elements at most", maxList)})
			break
		}
	}
	to.Set(reflect.ValueOf(out))
}

// newer reports the file's version alone: all else may be right for that.
func (d *decoder) newer(at Position) {
	d.findings = nil
	d.addAt(at, Finding{
		Rule: RuleSchemaVersion, Key: "schema", Found: strconv.Itoa(d.out.SchemaVersion), Allowed: strconv.Itoa(SchemaVersion),
		Reason: "the file is written for a newer program, and its keys may mean something else there",
		Fix:    "run the program that the file is for, or write the file anew with drumctl config write",
	})
}

// missing reports the keys that are needed and not given.
func (d *decoder) missing(part reflect.Value, prefix string) {
	for i := range part.NumField() {
		f := part.Type().Field(i)
		key := f.Tag.Get("key")
		if part.Field(i).Kind() == reflect.Struct {
			d.missing(part.Field(i), key+".")
		} else if _, ok := d.seen[prefix+key]; !ok && f.Tag.Get("required") != "" {
			d.add(Finding{Rule: RuleMissingKey, Key: prefix + key, Found: "nothing", Allowed: keyOf(f).Allowed()})
		}
	}
}

func sortedKeys(m reflect.Value) []string {
	var out []string
	for _, k := range m.MapKeys() {
		out = append(out, k.String())
	}
	slices.Sort(out)
	return out
}

// nearest is the word that a typing error may have stood for, or none.
func nearest(text string, words []string) string {
	best, least := "", len(text)/3+2
	for _, w := range words {
		if n := distance(text, w); n < least {
			best, least = w, n
		}
	}
	return best
}

// distance is the Levenshtein distance of two short texts.
func distance(x, y string) int {
	if len(x) > maxName || len(y) > maxName {
		return maxName
	}
	row := make([]int, len(y)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(x) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(y) {
			cost := diagonal
			if x[i] != y[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(y)]
}
