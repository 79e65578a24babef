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
	d := &decoder{file: file, settings: DefaultSettings(), positions: make(map[string]Position)}
	d.settings.keyPositions = d.positions
	if len(text) > MaxSettingsBytes {
		d.addFinding(Finding{Rule: RuleUnreadable, Found: fmt.Sprintf("%d bytes", len(text)), Allowed: Size(MaxSettingsBytes).String() + " at most"})
		return d.settings, d.findings
	}
	// Editors of some systems put a byte order mark first, which is no part of the document.
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	d.text = slices.Clip(text)
	for at, c := range d.text {
		if c == '\n' {
			d.lineStarts = append(d.lineStarts, at+1)
		}
	}
	if at := firstInvalidUTF8(d.text); at >= 0 {
		d.addFindingAt(d.position(at), Finding{Rule: RuleSyntax, Found: fmt.Sprintf("byte 0x%02x", d.text[at]), Allowed: "UTF-8 text"})
		return d.settings, d.findings
	}
	d.decodeDocument()
	if at, ok := d.positions["schema"]; ok && d.settings.SchemaVersion > SchemaVersion {
		d.reportNewerSchema(at)
		return d.settings, d.findings
	}
	if len(d.findings) == 0 { // tables mixed in ways that the walk does not follow
		var any map[string]any
		var bad *toml.DecodeError
		if err := toml.Unmarshal(d.text, &any); errors.As(err, &bad) {
			line, column := bad.Position()
			d.addFindingAt(Position{line, column}, Finding{Rule: RuleSyntax, Found: strings.TrimPrefix(bad.Error(), "toml: "), Allowed: "TOML 1.0"})
		} else if err != nil {
			d.addFinding(Finding{Rule: RuleSyntax, Found: err.Error(), Allowed: "TOML 1.0"})
		}
	}
	if len(d.findings) == 0 {
		d.reportMissingKeys(reflect.ValueOf(d.settings).Elem(), "")
	}
	return d.settings, d.findings
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

func firstInvalidUTF8(text []byte) int {
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
	file         string
	text         []byte
	lineStarts   []int // where lines begin, but for the first
	parser       unstable.Parser
	parserOffset int // where the parser's text begins in the whole
	settings     *Settings
	positions    map[string]Position
	findings     []Finding
}

func (d *decoder) addFinding(f Finding) {
	f.File, f.Level = d.file, LevelRefused
	if len(d.findings) < maxFindings {
		d.findings = append(d.findings, f)
	}
}

func (d *decoder) addFindingAt(at Position, f Finding) {
	f.Position = at
	d.addFinding(f)
}

// position is the place of an offset in the text.
func (d *decoder) position(offset int) Position {
	line := sort.SearchInts(d.lineStarts, offset+1)
	begin := 0
	if line > 0 {
		begin = d.lineStarts[line-1]
	}
	return Position{line + 1, offset - begin + 1}
}

// decodeDocument walks the text. After an error of syntax it goes on at the next header of a table.
func (d *decoder) decodeDocument() {
	for d.parserOffset <= len(d.text) {
		d.parser.Reset(d.text[d.parserOffset:])
		var table []keyPart
		known := d.parserOffset == 0 // of what comes before the first header after an error, nothing
		for d.parser.NextExpression() {
			e := d.parser.Expression()
			switch e.Kind {
			case unstable.Table, unstable.ArrayTable:
				table = d.keyParts(e.Key())
				known = d.decodeTableHeader(table, e.Kind == unstable.ArrayTable)
			case unstable.KeyValue:
				if known {
					d.decodeKeyValue(table, e)
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
			offset = d.parserOffset + int(d.parser.Range(bad.Highlight).Offset)
		}
		found := "the end of the file"
		if offset < len(d.text) {
			found = fmt.Sprintf("%.40q", firstLine(d.text[offset:]))
		}
		d.addFindingAt(d.position(offset), Finding{Rule: RuleSyntax, Found: found, Allowed: "TOML 1.0", Reason: bad.Message})
		next := bytes.Index(d.text[min(offset, len(d.text)):], []byte("\n["))
		if next < 0 {
			return
		}
		d.parserOffset = offset + next + 1
	}
}

func firstLine(text []byte) []byte {
	line, _, _ := bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// keyPart is a part of a dotted key.
type keyPart struct {
	name     string
	position Position
}

func (d *decoder) keyParts(it unstable.Iterator) []keyPart {
	var out []keyPart
	for it.Next() {
		n := it.Node()
		out = append(out, keyPart{string(n.Data), d.position(d.parserOffset + int(n.Raw.Offset))})
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

func joinKey(parts []keyPart) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = quoteKey(p.name)
	}
	return strings.Join(names, ".")
}

// decodeTableHeader takes a table's header, and tells whether what follows belongs to the settings.
func (d *decoder) decodeTableHeader(key []keyPart, array bool) bool {
	path, last := joinKey(key), key[len(key)-1]
	to, ok := d.resolve(key)
	if !ok {
		return false
	}
	if array || to.Kind() != reflect.Struct && to.Kind() != reflect.Map {
		d.addFindingAt(last.position, Finding{Rule: RuleWrongType, Key: path, Found: "a table", Allowed: d.allowedValues(key)})
		return false
	}
	if first, ok := d.positions[path]; ok {
		d.reportDuplicate(last.position, path, first)
		return false
	}
	d.positions[path] = last.position
	return true
}

func (d *decoder) reportDuplicate(at Position, path string, first Position) {
	d.addFindingAt(at, Finding{
		Rule: RuleDuplicate, Key: path, Found: fmt.Sprintf("given again, first in line %d", first.Line), Allowed: "once",
	})
}

// allowedValues is what the value of a key may be, in words.
func (d *decoder) allowedValues(key []keyPart) string {
	path := joinKey(key)
	if len(key) > 1 && key[0].name == "class" {
		path = "class.NAME"
		if len(key) > 2 {
			path += "." + joinKey(key[2:])
		}
	}
	for _, k := range Keys() {
		if k.Path == path {
			return k.Allowed()
		}
	}
	return "a part of the file, [" + path + "]"
}

// resolve goes down a key from the top of the settings. A class that is new to it is added.
func (d *decoder) resolve(key []keyPart) (reflect.Value, bool) {
	at := reflect.ValueOf(d.settings).Elem()
	for i, p := range key {
		path := joinKey(key[:i+1])
		switch at.Kind() {
		case reflect.Map:
			if err := checkText("name", p.name); err != nil {
				d.addFindingAt(p.position, Finding{Rule: RuleOutOfRange, Key: path, Found: strconv.Quote(p.name), Allowed: "a name"})
				return at, false
			}
			if at.IsNil() {
				at.Set(reflect.MakeMap(at.Type()))
			}
			name := reflect.ValueOf(p.name)
			if !at.MapIndex(name).IsValid() {
				if at.Len() >= maxClasses {
					d.addFindingAt(p.position, Finding{Rule: RuleOutOfRange, Key: path, Found: "one more", Allowed: fmt.Sprintf("%d at most", maxClasses)})
					return at, false
				}
				at.SetMapIndex(name, reflect.New(at.Type().Elem().Elem()))
				if i+1 < len(key) {
					d.positions[path] = p.position
				}
			}
			at = at.MapIndex(name).Elem()
		case reflect.Struct:
			f, ok := fieldByKey(at.Type(), p.name)
			if !ok {
				d.reportUnknownKey(at.Type(), p, path)
				return at, false
			}
			at = at.FieldByIndex(f.Index)
		default:
			d.addFindingAt(p.position, Finding{Rule: RuleWrongType, Key: joinKey(key[:i]), Found: "a table", Allowed: d.allowedValues(key[:i])})
			return at, false
		}
	}
	return at, true
}

func (d *decoder) reportUnknownKey(in reflect.Type, p keyPart, path string) {
	f := Finding{Rule: RuleUnknownKey, Key: path, Found: quoteKey(p.name), Allowed: strings.Join(keyNames(in), ", ")}
	if near := closestMatch(p.name, keyNames(in)); near != "" {
		f.Fix = "did you mean " + near + "?"
	}
	d.addFindingAt(p.position, f)
}

// decodeKeyValue takes a key and its value below a table.
func (d *decoder) decodeKeyValue(table []keyPart, e *unstable.Node) {
	key := d.keyParts(e.Key())
	full := append(slices.Clone(table), key...)
	to, ok := d.resolve(full)
	if !ok {
		return
	}
	path, last := joinKey(full), full[len(full)-1]
	if to.Kind() == reflect.Struct || to.Kind() == reflect.Map {
		if e.Value().Kind != unstable.InlineTable {
			d.addFindingAt(last.position, Finding{Rule: RuleWrongType, Key: path, Found: d.excerpt(e.Value()), Allowed: d.allowedValues(full)})
			return
		}
		if first, ok := d.positions[path]; ok {
			d.reportDuplicate(last.position, path, first)
			return
		}
		d.positions[path] = last.position
		for it := e.Value().Children(); it.Next(); {
			d.decodeKeyValue(full, it.Node())
		}
		return
	}
	if first, ok := d.positions[path]; ok {
		d.reportDuplicate(last.position, path, first)
		return
	}
	d.positions[path] = last.position
	d.decodeValue(to, full, e.Value())
}

// excerpt is a value as the file has it, shortened.
func (d *decoder) excerpt(n *unstable.Node) string {
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

// decodeValue reads a value into its field.
func (d *decoder) decodeValue(to reflect.Value, key []keyPart, n *unstable.Node) {
	f, ok := d.schemaField(key)
	if !ok {
		return
	}
	k := keyFromField(f)
	path, at := joinKey(key), key[len(key)-1].position
	if n.Kind != unstable.Array && n.Kind != unstable.InlineTable {
		at = d.position(d.parserOffset + int(n.Raw.Offset))
	}
	wrong := func(rule, allowed string) {
		d.addFindingAt(at, Finding{Rule: rule, Key: path, Found: d.excerpt(n), Allowed: allowed})
	}
	if to.Kind() == reflect.Pointer {
		to.Set(reflect.New(to.Type().Elem()))
		to = to.Elem()
	}
	isText := n.Kind == unstable.String
	switch {
	case to.Type() == durationType, to.Type() == sizeType:
		if !isText {
			wrong(RuleWrongType, k.Allowed()+", in quotes and with a unit")
		} else if err := setScalar(to, string(n.Data)); err != nil {
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
			f := Finding{Rule: RuleOutOfRange, Key: path, Found: d.excerpt(n), Allowed: k.Allowed()}
			if near := closestMatch(text, k.Choices); near != "" {
				f.Fix = "did you mean " + strconv.Quote(near) + "?"
			}
			d.addFindingAt(at, f)
		} else if checkText(f.Tag.Get("kind"), text) != nil {
			wrong(RuleOutOfRange, k.Allowed())
		}
		to.SetString(text)
	case to.Kind() == reflect.Slice:
		d.decodeList(to, f, key, n)
	}
}

// schemaField is the schema's field of a key.
func (d *decoder) schemaField(key []keyPart) (reflect.StructField, bool) {
	t := reflect.TypeFor[Settings]()
	var f reflect.StructField
	for i, p := range key {
		if t.Kind() == reflect.Map {
			t = t.Elem().Elem()
			continue
		}
		var ok bool
		if f, ok = fieldByKey(t, p.name); !ok {
			return f, false
		}
		if t = f.Type; i == len(key)-1 {
			return f, true
		}
	}
	return f, false
}

// maxListElements is the most elements of a list, maxClasses the most classes.
const maxListElements, maxClasses = 64, 256

// decodeList reads a list of strings.
func (d *decoder) decodeList(to reflect.Value, f reflect.StructField, key []keyPart, n *unstable.Node) {
	path, at, allowed := joinKey(key), key[len(key)-1].position, typeName(f)
	if n.Kind != unstable.Array {
		d.addFindingAt(at, Finding{Rule: RuleWrongType, Key: path, Found: d.excerpt(n), Allowed: allowed})
		return
	}
	var out []string
	for it := n.Children(); it.Next(); {
		e := it.Node()
		text := string(e.Data)
		switch {
		case e.Kind != unstable.String:
			d.addFindingAt(at, Finding{Rule: RuleWrongType, Key: path, Found: d.excerpt(e), Allowed: allowed})
		case checkText(f.Tag.Get("kind"), text) != nil:
			d.addFindingAt(at, Finding{Rule: RuleOutOfRange, Key: path, Found: d.excerpt(e), Allowed: allowed})
		case slices.Contains(out, text):
			d.addFindingAt(at, Finding{Rule: RuleDuplicate, Key: path, Found: d.excerpt(e) + " twice", Allowed: "once"})
		}
		if out = append(out, text); len(out) > maxListElements {
			d.addFindingAt(at, Finding{Rule: RuleOutOfRange, Key: path, Found: "a longer list", Allowed: fmt.Sprintf("%d elements at most", maxListElements)})
			break
		}
	}
	to.Set(reflect.ValueOf(out))
}

// reportNewerSchema reports the file's version alone: all else may be right for that.
func (d *decoder) reportNewerSchema(at Position) {
	d.findings = nil
	d.addFindingAt(at, Finding{
		Rule: RuleSchemaVersion, Key: "schema", Found: strconv.Itoa(d.settings.SchemaVersion), Allowed: strconv.Itoa(SchemaVersion),
		Reason: "the file is written for a newer program, and its keys may mean something else there",
		Fix:    "run the program that the file is for, or write the file anew with drumctl config write",
	})
}

// reportMissingKeys reports the keys that are needed and not given.
func (d *decoder) reportMissingKeys(part reflect.Value, prefix string) {
	for i := range part.NumField() {
		f := part.Type().Field(i)
		key := f.Tag.Get("key")
		if part.Field(i).Kind() == reflect.Struct {
			d.reportMissingKeys(part.Field(i), key+".")
		} else if _, ok := d.positions[prefix+key]; !ok && f.Tag.Get("required") != "" {
			d.addFinding(Finding{Rule: RuleMissingKey, Key: prefix + key, Found: "nothing", Allowed: keyFromField(f).Allowed()})
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

// closestMatch is the word that a typing error may have stood for, or none.
func closestMatch(text string, words []string) string {
	best, least := "", len(text)/3+2
	for _, w := range words {
		if n := editDistance(text, w); n < least {
			best, least = w, n
		}
	}
	return best
}

// editDistance is the Levenshtein distance of two short texts.
func editDistance(x, y string) int {
	if len(x) > maxNameBytes || len(y) > maxNameBytes {
		return maxNameBytes
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
