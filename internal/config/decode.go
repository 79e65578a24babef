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

// maxFindings is the most findings that are reported for one file.
const maxFindings = 100

// ParseSettings decodes the text of an operators' file. Findings name the file as the parameter
// file does. All errors in the text and in single values are reported together, up to maxFindings;
// whether the values are consistent with each other is checked by internal/check. If there is any
// finding, the caller must not use the settings.
//
// The TOML library's decoder stops at the first wrong value and does not check ranges, so this
// package decodes the parser's expressions by its own schema. The library still decides whether
// a document is valid.
func ParseSettings(file string, text []byte) (*Settings, []Finding) {
	d := &decoder{file: file, settings: DefaultSettings(), positions: make(map[string]Position)}
	d.settings.keyPositions = d.positions
	if len(text) > MaxSettingsBytes {
		d.addFinding(Finding{Rule: RuleUnreadable, Found: fmt.Sprintf("%d bytes", len(text)), Allowed: Size(MaxSettingsBytes).String() + " at most"})
		return d.settings, d.findings
	}
	// Some editors start a file with a byte order mark, which is not part of the document.
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	d.text = slices.Clip(text)
	for offset, c := range d.text {
		if c == '\n' {
			d.lineStarts = append(d.lineStarts, offset+1)
		}
	}
	if offset := firstInvalidUTF8(d.text); offset >= 0 {
		d.addFindingAt(d.position(offset), Finding{Rule: RuleSyntax, Found: fmt.Sprintf("byte 0x%02x", d.text[offset]), Allowed: "UTF-8 text"})
		return d.settings, d.findings
	}
	d.decodeDocument()
	if position, ok := d.positions["schema"]; ok && d.settings.SchemaVersion > SchemaVersion {
		d.reportNewerSchema(position)
		return d.settings, d.findings
	}
	if len(d.findings) == 0 { // e.g. conflicting tables and dotted keys, which decodeDocument does not detect
		var document map[string]any
		var decodeErr *toml.DecodeError
		if err := toml.Unmarshal(d.text, &document); errors.As(err, &decodeErr) {
			line, column := decodeErr.Position()
			d.addFindingAt(Position{line, column}, Finding{Rule: RuleSyntax, Found: strings.TrimPrefix(decodeErr.Error(), "toml: "), Allowed: "TOML 1.0"})
		} else if err != nil {
			d.addFinding(Finding{Rule: RuleSyntax, Found: err.Error(), Allowed: "TOML 1.0"})
		}
	}
	if len(d.findings) == 0 {
		d.reportMissingKeys(reflect.ValueOf(d.settings).Elem(), "")
	}
	return d.settings, d.findings
}

// LoadSettings reads and decodes the operators' file at path, see ParseSettings. A file that can't
// be read or is longer than MaxSettingsBytes is reported as a finding, with the default settings.
func LoadSettings(path string) (*Settings, []Finding) {
	text, err := ReadFile(path, MaxSettingsBytes)
	if err != nil {
		finding := Finding{Rule: RuleUnreadable, Level: LevelRefused, File: path, Found: err.Error()}
		if errors.Is(err, ErrFileTooLarge) {
			finding.Allowed = Size(MaxSettingsBytes).String() + " at most"
		}
		return DefaultSettings(), []Finding{finding}
	}
	return ParseSettings(path, text)
}

// firstInvalidUTF8 returns the offset of the first byte that is not valid UTF-8, or -1.
func firstInvalidUTF8(text []byte) int {
	for offset := 0; offset < len(text); {
		r, size := utf8.DecodeRune(text[offset:])
		if r == utf8.RuneError && size <= 1 {
			return offset
		}
		offset += size
	}
	return -1
}

// decoder decodes one operators' file.
type decoder struct {
	file         string // name of the file in findings
	text         []byte // the whole file, without a byte order mark
	lineStarts   []int  // offsets in text of the second and further lines
	parser       unstable.Parser
	parserOffset int // offset in text at which the parser's input starts
	settings     *Settings
	positions    map[string]Position // of the keys and tables that the file gives, by path
	findings     []Finding
}

// addFinding records a finding that refuses the file, unless there are maxFindings already.
func (d *decoder) addFinding(finding Finding) {
	finding.File, finding.Level = d.file, LevelRefused
	if len(d.findings) < maxFindings {
		d.findings = append(d.findings, finding)
	}
}

// addFindingAt records a finding at a position.
func (d *decoder) addFindingAt(position Position, finding Finding) {
	finding.Position = position
	d.addFinding(finding)
}

// position returns the line and column of a byte offset in the text.
func (d *decoder) position(offset int) Position {
	line := sort.SearchInts(d.lineStarts, offset+1)
	lineStart := 0
	if line > 0 {
		lineStart = d.lineStarts[line-1]
	}
	return Position{line + 1, offset - lineStart + 1}
}

// decodeDocument decodes the whole text. After a syntax error it continues at the next table header.
func (d *decoder) decodeDocument() {
	for d.parserOffset <= len(d.text) {
		d.parser.Reset(d.text[d.parserOffset:])
		var table []keyPart
		tableKnown := d.parserOffset == 0 // after a syntax error, keys before the next header are skipped
		for d.parser.NextExpression() {
			expression := d.parser.Expression()
			switch expression.Kind {
			case unstable.Table, unstable.ArrayTable:
				table = d.keyParts(expression.Key())
				tableKnown = d.decodeTableHeader(table, expression.Kind == unstable.ArrayTable)
			case unstable.KeyValue:
				if tableKnown {
					d.decodeKeyValue(table, expression)
				}
			}
			if len(d.findings) >= maxFindings {
				return
			}
		}
		var syntaxErr *unstable.ParserError
		if !errors.As(d.parser.Error(), &syntaxErr) {
			return
		}
		offset := len(d.text)
		if len(syntaxErr.Highlight) > 0 {
			offset = d.parserOffset + int(d.parser.Range(syntaxErr.Highlight).Offset)
		}
		found := "the end of the file"
		if offset < len(d.text) {
			found = fmt.Sprintf("%.40q", firstLine(d.text[offset:]))
		}
		d.addFindingAt(d.position(offset), Finding{Rule: RuleSyntax, Found: found, Allowed: "TOML 1.0", Reason: syntaxErr.Message})
		nextHeader := bytes.Index(d.text[min(offset, len(d.text)):], []byte("\n["))
		if nextHeader < 0 {
			return
		}
		d.parserOffset = offset + nextHeader + 1
	}
}

// firstLine returns text up to its first line break.
func firstLine(text []byte) []byte {
	line, _, _ := bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// keyPart is one part of a dotted key.
type keyPart struct {
	name     string
	position Position
}

// keyParts returns the parts of the key that an iterator goes through, with their positions.
func (d *decoder) keyParts(iterator unstable.Iterator) []keyPart {
	var parts []keyPart
	for iterator.Next() {
		node := iterator.Node()
		parts = append(parts, keyPart{string(node.Data), d.position(d.parserOffset + int(node.Raw.Offset))})
	}
	return parts
}

// quoteKey returns a part of a key as TOML writes it: bare where it may be, else quoted.
func quoteKey(name string) string {
	isBare := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
	}
	if name != "" && strings.IndexFunc(name, func(r rune) bool { return !isBare(r) }) < 0 {
		return name
	}
	return strconv.Quote(name)
}

// joinKey returns the path of a dotted key, such as "callers.head_time".
func joinKey(parts []keyPart) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = quoteKey(p.name)
	}
	return strings.Join(names, ".")
}

// decodeTableHeader checks a table header and adds the class that it names. It reports whether the
// keys that follow belong to a table of the schema; if not, they are skipped.
func (d *decoder) decodeTableHeader(key []keyPart, array bool) bool {
	path, last := joinKey(key), key[len(key)-1]
	target, ok := d.resolve(key)
	if !ok {
		return false
	}
	if array || target.Kind() != reflect.Struct && target.Kind() != reflect.Map {
		d.addFindingAt(last.position, Finding{Rule: RuleWrongType, Key: path, Found: "a table", Allowed: d.allowedValues(key)})
		return false
	}
	if previous, ok := d.positions[path]; ok {
		d.reportDuplicate(last.position, path, previous)
		return false
	}
	d.positions[path] = last.position
	return true
}

// reportDuplicate reports a key or table at position that was given before, at previous.
func (d *decoder) reportDuplicate(position Position, path string, previous Position) {
	d.addFindingAt(position, Finding{
		Rule: RuleDuplicate, Key: path, Found: fmt.Sprintf("given again, first in line %d", previous.Line), Allowed: "once",
	})
}

// allowedValues describes the values that a key of the file may have, as [Key.Allowed] does.
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

// resolve returns the field of the settings that a key stands for, and whether there is one; if
// not, it reports why. A class that the settings don't have yet is added.
func (d *decoder) resolve(key []keyPart) (reflect.Value, bool) {
	value := reflect.ValueOf(d.settings).Elem()
	for i, part := range key {
		path := joinKey(key[:i+1])
		switch value.Kind() {
		case reflect.Map:
			if err := checkText("name", part.name); err != nil {
				d.addFindingAt(part.position, Finding{Rule: RuleOutOfRange, Key: path, Found: strconv.Quote(part.name), Allowed: "a name"})
				return value, false
			}
			if value.IsNil() {
				value.Set(reflect.MakeMap(value.Type()))
			}
			name := reflect.ValueOf(part.name)
			if !value.MapIndex(name).IsValid() {
				if value.Len() >= maxClasses {
					d.addFindingAt(part.position, Finding{Rule: RuleOutOfRange, Key: path, Found: "a further class", Allowed: fmt.Sprintf("%d classes at most", maxClasses)})
					return value, false
				}
				value.SetMapIndex(name, reflect.New(value.Type().Elem().Elem()))
				if i+1 < len(key) {
					d.positions[path] = part.position
				}
			}
			value = value.MapIndex(name).Elem()
		case reflect.Struct:
			field, ok := fieldByKey(value.Type(), part.name)
			if !ok {
				d.reportUnknownKey(value.Type(), part, path)
				return value, false
			}
			value = value.FieldByIndex(field.Index)
		default:
			d.addFindingAt(part.position, Finding{Rule: RuleWrongType, Key: joinKey(key[:i]), Found: "a table", Allowed: d.allowedValues(key[:i])})
			return value, false
		}
	}
	return value, true
}

// reportUnknownKey reports a part of a key that the table's type has no field for.
func (d *decoder) reportUnknownKey(table reflect.Type, part keyPart, path string) {
	finding := Finding{Rule: RuleUnknownKey, Key: path, Found: quoteKey(part.name), Allowed: strings.Join(keyNames(table), ", ")}
	if match := closestMatch(part.name, keyNames(table)); match != "" {
		finding.Fix = "did you mean " + match + "?"
	}
	d.addFindingAt(part.position, finding)
}

// decodeKeyValue decodes a key of a table and its value. An inline table is decoded key by key.
func (d *decoder) decodeKeyValue(table []keyPart, expression *unstable.Node) {
	key := d.keyParts(expression.Key())
	fullKey := append(slices.Clone(table), key...)
	target, ok := d.resolve(fullKey)
	if !ok {
		return
	}
	path, last := joinKey(fullKey), fullKey[len(fullKey)-1]
	if target.Kind() == reflect.Struct || target.Kind() == reflect.Map {
		if expression.Value().Kind != unstable.InlineTable {
			d.addFindingAt(last.position, Finding{Rule: RuleWrongType, Key: path, Found: d.excerpt(expression.Value()), Allowed: d.allowedValues(fullKey)})
			return
		}
		if previous, ok := d.positions[path]; ok {
			d.reportDuplicate(last.position, path, previous)
			return
		}
		d.positions[path] = last.position
		for iterator := expression.Value().Children(); iterator.Next(); {
			d.decodeKeyValue(fullKey, iterator.Node())
		}
		return
	}
	if previous, ok := d.positions[path]; ok {
		d.reportDuplicate(last.position, path, previous)
		return
	}
	d.positions[path] = last.position
	d.decodeValue(target, fullKey, expression.Value())
}

// excerpt returns a value as the file has it, on one line and shortened to 60 bytes. A list or a
// table is only named as such.
func (d *decoder) excerpt(node *unstable.Node) string {
	switch node.Kind {
	case unstable.Array:
		return "a list"
	case unstable.InlineTable:
		return "a table"
	}
	raw := string(d.parser.Raw(node.Raw))
	if len(raw) > 60 {
		return strconv.Quote(raw[:60]) + "..."
	}
	if strings.ContainsFunc(raw, unicode.IsControl) { // a finding is one line
		return strconv.Quote(raw)
	}
	return raw
}

// decodeValue decodes a value into its field and checks its type and range.
func (d *decoder) decodeValue(target reflect.Value, key []keyPart, node *unstable.Node) {
	field, ok := d.schemaField(key)
	if !ok {
		return
	}
	schemaKey := keyFromField(field)
	path, position := joinKey(key), key[len(key)-1].position
	if node.Kind != unstable.Array && node.Kind != unstable.InlineTable {
		position = d.position(d.parserOffset + int(node.Raw.Offset))
	}
	report := func(rule, allowed string) {
		d.addFindingAt(position, Finding{Rule: rule, Key: path, Found: d.excerpt(node), Allowed: allowed})
	}
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	isText := node.Kind == unstable.String
	switch {
	case target.Type() == durationType, target.Type() == sizeType:
		if !isText {
			report(RuleWrongType, schemaKey.Allowed()+", in quotes and with a unit")
		} else if err := setScalar(target, string(node.Data)); err != nil {
			report(RuleOutOfRange, schemaKey.Allowed())
		} else if !inRange(target, schemaKey) {
			report(RuleOutOfRange, schemaKey.Allowed())
		}
	case target.Kind() == reflect.Int:
		v, err := strconv.ParseInt(strings.ReplaceAll(string(node.Data), "_", ""), 0, 64)
		if node.Kind != unstable.Integer {
			report(RuleWrongType, schemaKey.Allowed())
		} else if target.SetInt(v); err != nil || !inRange(target, schemaKey) {
			report(RuleOutOfRange, schemaKey.Allowed())
		}
	case target.Kind() == reflect.Float64:
		v, err := strconv.ParseFloat(strings.ReplaceAll(string(node.Data), "_", ""), 64)
		if node.Kind != unstable.Integer && node.Kind != unstable.Float {
			report(RuleWrongType, schemaKey.Allowed())
		} else if target.SetFloat(v); err != nil || !inRange(target, schemaKey) {
			report(RuleOutOfRange, schemaKey.Allowed())
		}
	case target.Kind() == reflect.Bool:
		if node.Kind != unstable.Bool {
			report(RuleWrongType, schemaKey.Allowed())
		}
		target.SetBool(string(node.Data) == "true")
	case target.Kind() == reflect.String:
		text := string(node.Data)
		if !isText {
			report(RuleWrongType, schemaKey.Allowed()+", in quotes")
		} else if len(schemaKey.Choices) > 0 && !slices.Contains(schemaKey.Choices, text) {
			finding := Finding{Rule: RuleOutOfRange, Key: path, Found: d.excerpt(node), Allowed: schemaKey.Allowed()}
			if match := closestMatch(text, schemaKey.Choices); match != "" {
				finding.Fix = "did you mean " + strconv.Quote(match) + "?"
			}
			d.addFindingAt(position, finding)
		} else if checkText(field.Tag.Get("kind"), text) != nil {
			report(RuleOutOfRange, schemaKey.Allowed())
		}
		target.SetString(text)
	case target.Kind() == reflect.Slice:
		d.decodeList(target, field, key, node)
	}
}

// schemaField returns the field of the settings' types that a key stands for.
func (d *decoder) schemaField(key []keyPart) (reflect.StructField, bool) {
	table := reflect.TypeFor[Settings]()
	var field reflect.StructField
	for i, part := range key {
		if table.Kind() == reflect.Map {
			table = table.Elem().Elem()
			continue
		}
		var ok bool
		if field, ok = fieldByKey(table, part.name); !ok {
			return field, false
		}
		if table = field.Type; i == len(key)-1 {
			return field, true
		}
	}
	return field, false
}

// maxListElements is the most elements that a list may have, maxClasses the most classes of a file.
const maxListElements, maxClasses = 64, 256

// decodeList decodes a list of strings into its field. Findings have the position of the list's key.
func (d *decoder) decodeList(target reflect.Value, field reflect.StructField, key []keyPart, node *unstable.Node) {
	path, position, allowed := joinKey(key), key[len(key)-1].position, typeName(field)
	if node.Kind != unstable.Array {
		d.addFindingAt(position, Finding{Rule: RuleWrongType, Key: path, Found: d.excerpt(node), Allowed: allowed})
		return
	}
	var elements []string
	for iterator := node.Children(); iterator.Next(); {
		element := iterator.Node()
		text := string(element.Data)
		switch {
		case element.Kind != unstable.String:
			d.addFindingAt(position, Finding{Rule: RuleWrongType, Key: path, Found: d.excerpt(element), Allowed: allowed})
		case checkText(field.Tag.Get("kind"), text) != nil:
			d.addFindingAt(position, Finding{Rule: RuleOutOfRange, Key: path, Found: d.excerpt(element), Allowed: allowed})
		case slices.Contains(elements, text):
			d.addFindingAt(position, Finding{Rule: RuleDuplicate, Key: path, Found: d.excerpt(element) + " twice", Allowed: "once"})
		}
		if elements = append(elements, text); len(elements) > maxListElements {
			d.addFindingAt(position, Finding{Rule: RuleOutOfRange, Key: path, Found: "a longer list", Allowed: fmt.Sprintf("%d elements at most", maxListElements)})
			break
		}
	}
	target.Set(reflect.ValueOf(elements))
}

// reportNewerSchema replaces all findings by one on the file's version: the rest may be valid in
// that version.
func (d *decoder) reportNewerSchema(position Position) {
	d.findings = nil
	d.addFindingAt(position, Finding{
		Rule: RuleSchemaVersion, Key: "schema", Found: strconv.Itoa(d.settings.SchemaVersion), Allowed: strconv.Itoa(SchemaVersion),
		Reason: "the file is written for a newer program, in which its keys may have another meaning",
		Fix:    "run the version of the program that the file is written for, or create the file again with drumctl config write",
	})
}

// reportMissingKeys reports the required keys of a table, and of the tables in it, that the file
// does not give. Classes have no required keys.
func (d *decoder) reportMissingKeys(table reflect.Value, prefix string) {
	for i := range table.NumField() {
		field := table.Type().Field(i)
		key := field.Tag.Get("key")
		if table.Field(i).Kind() == reflect.Struct {
			d.reportMissingKeys(table.Field(i), key+".")
		} else if _, ok := d.positions[prefix+key]; !ok && field.Tag.Get("required") != "" {
			d.addFinding(Finding{Rule: RuleMissingKey, Key: prefix + key, Found: "nothing", Allowed: keyFromField(field).Allowed()})
		}
	}
}

// sortedKeys returns the keys of a map with string keys, in order.
func sortedKeys(m reflect.Value) []string {
	var keys []string
	for _, k := range m.MapKeys() {
		keys = append(keys, k.String())
	}
	slices.Sort(keys)
	return keys
}

// closestMatch returns the candidate that text is most likely a misspelling of, or "" if none is
// close enough. The edit distance may be one more than a third of the length of text.
func closestMatch(text string, candidates []string) string {
	best, minDistance := "", len(text)/3+2
	for _, candidate := range candidates {
		if n := editDistance(text, candidate); n < minDistance {
			best, minDistance = candidate, n
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two texts of at most maxNameBytes bytes; for
// longer ones it returns maxNameBytes.
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
