package config

import (
	"cmp"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// Key describes a key of the operators' file.
type Key struct {
	Path                          string // such as "callers.head_time" or "class.NAME.wanted"
	Type                          string // what its value is, in words
	Default, UnsetMeaning         string // at most one of them is set
	Min, Max                      string
	Choices                       []string
	Doc                           string
	Reloadable, Required, IsTable bool // IsPart: it is a part of the file, such as [callers]
}

// Allowed is what a key's value may be, in words.
func (k Key) Allowed() string {
	switch {
	case len(k.Choices) > 0:
		return "one of " + strings.Join(k.Choices, ", ")
	case k.Min != "" && k.Max != "":
		return k.Type + " from " + k.Min + " to " + k.Max
	case k.Min != "":
		return k.Type + " from " + k.Min
	}
	return k.Type
}

// Keys returns the schema: every part and key in the order of the file. The name of a class
// stands as NAME.
func Keys() []Key {
	return appendKeys(reflect.TypeFor[Settings](), "", nil)
}

func appendKeys(t reflect.Type, prefix string, out []Key) []Key {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Tag.Get("key") == "" {
			continue
		}
		k := keyFromField(f)
		k.Path = prefix + k.Path
		part := f.Type
		if part.Kind() == reflect.Map {
			k.Path += ".NAME"
			part = part.Elem().Elem()
		}
		k.IsTable = part.Kind() == reflect.Struct
		out = append(out, k)
		if k.IsTable {
			out = appendKeys(part, k.Path+".", out)
		}
	}
	return out
}

// keyFromField reads a field's tags.
func keyFromField(f reflect.StructField) Key {
	k := Key{
		Path: f.Tag.Get("key"), Doc: f.Tag.Get("doc"), Default: f.Tag.Get("default"), UnsetMeaning: f.Tag.Get("unset"),
		Min: f.Tag.Get("min"), Max: f.Tag.Get("max"),
		Reloadable: f.Tag.Get("reload") == "live", Required: f.Tag.Get("required") != "", Type: typeName(f),
	}
	if words := f.Tag.Get("choices"); words != "" {
		k.Choices = strings.Split(words, ",")
	}
	return k
}

var durationType, sizeType = reflect.TypeFor[time.Duration](), reflect.TypeFor[Size]()

// typeName says what a field's value is.
func typeName(f reflect.StructField) string {
	t := f.Type
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	kind := f.Tag.Get("kind")
	switch {
	case t == durationType:
		return "a time"
	case t == sizeType:
		return "a size"
	case t.Kind() == reflect.Slice:
		return map[string]string{"name": "a list of names", "address": "a list of HOST:PORT addresses"}[kind]
	case t.Kind() == reflect.String && kind != "":
		return map[string]string{"name": "a name", "address": "HOST:PORT", "path": "a path from /"}[kind]
	case t.Kind() == reflect.String:
		return "a word"
	case t.Kind() == reflect.Int:
		return "a whole number"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Bool:
		return "true or false"
	}
	return "a part of the file"
}

// fieldByKey returns the field of a part with a key.
func fieldByKey(part reflect.Type, key string) (reflect.StructField, bool) {
	for i := range part.NumField() {
		if f := part.Field(i); f.Tag.Get("key") == key && key != "" {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// keyNames returns the keys of a part.
func keyNames(part reflect.Type) []string {
	var out []string
	for i := range part.NumField() {
		if key := part.Field(i).Tag.Get("key"); key != "" {
			out = append(out, key)
		}
	}
	return out
}

// setScalar reads a value from its text, as a default or a bound is written, into a field.
func setScalar(to reflect.Value, text string) error {
	switch {
	case to.Type() == durationType:
		d, err := parseDuration(text)
		to.SetInt(int64(d))
		return err
	case to.Type() == sizeType:
		s, err := ParseSize(text)
		to.SetInt(int64(s))
		return err
	case to.Kind() == reflect.Int:
		n, err := strconv.Atoi(text)
		to.SetInt(int64(n))
		return err
	case to.Kind() == reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		to.SetFloat(v)
		return err
	case to.Kind() == reflect.String:
		to.SetString(text)
		return nil
	}
	return fmt.Errorf("no text for a %s", to.Type())
}

// setDefaults sets what a part's fields are where a file leaves them out. The tags are the
// program's own: a bad one is found by the tests.
func setDefaults(part reflect.Value) {
	for i := range part.NumField() {
		f, v := part.Type().Field(i), part.Field(i)
		if text := f.Tag.Get("default"); text != "" {
			if err := setScalar(v, text); err != nil {
				panic(fmt.Sprintf("config: default of %s: %v", f.Name, err))
			}
		} else if v.Kind() == reflect.Struct {
			setDefaults(v)
		}
	}
}

// DefaultSettings returns the settings of a program that is given no file.
func DefaultSettings() *Settings {
	s := &Settings{SchemaVersion: SchemaVersion}
	setDefaults(reflect.ValueOf(s).Elem())
	return s
}

// inRange tells whether a value is within its field's bounds.
func inRange(v reflect.Value, k Key) bool {
	bound := func(text string) reflect.Value {
		to := reflect.New(v.Type()).Elem()
		if err := setScalar(to, text); err != nil {
			panic(fmt.Sprintf("config: bound of %s: %v", k.Path, err))
		}
		return to
	}
	compare := func(x, y reflect.Value) int {
		switch {
		case v.Kind() == reflect.Float64:
			if !(x.Float() >= y.Float()) { // NaN is under all bounds
				return -1
			}
			return 1
		case x.Int() < y.Int():
			return -1
		}
		return 1
	}
	if k.Min != "" && compare(v, bound(k.Min)) < 0 {
		return false
	}
	return k.Max == "" || compare(bound(k.Max), v) > 0
}

// KeyPosition returns where a file gives a key, such as "callers.head_time".
func (s *Settings) KeyPosition(path string) (Position, bool) {
	at, ok := s.keyPositions[path]
	return at, ok
}

// Value is a key's value in effect.
type Value struct {
	Path, Text string
	Reloadable bool
}

// Values lists the values in effect, defaults and all; what is neither given nor has a default
// is left out. Two files with the same values have the same effect.
func (s *Settings) Values() []Value {
	return appendValues(reflect.ValueOf(s).Elem(), "", nil)
}

func appendValues(part reflect.Value, prefix string, out []Value) []Value {
	for i := range part.NumField() {
		f, v := part.Type().Field(i), part.Field(i)
		key := f.Tag.Get("key")
		switch {
		case key == "":
		case v.Kind() == reflect.Struct:
			out = appendValues(v, prefix+key+".", out)
		case v.Kind() == reflect.Map:
			for _, name := range sortedKeys(v) {
				out = appendValues(v.MapIndex(reflect.ValueOf(name)).Elem(), prefix+key+"."+quoteKey(name)+".", out)
			}
		case v.Kind() == reflect.Pointer && v.IsNil(), f.Tag.Get("default") == "" && v.IsZero():
		default:
			out = append(out, Value{prefix + key, formatValue(v), f.Tag.Get("reload") == "live"})
		}
	}
	return out
}

// formatValue writes a value as the file does.
func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	switch x := v.Interface().(type) {
	case time.Duration:
		return strconv.Quote(FormatDuration(x))
	case Size:
		return strconv.Quote(x.String())
	case string:
		return strconv.Quote(x)
	case []string:
		quoted := make([]string, len(x))
		for i, s := range x {
			quoted[i] = strconv.Quote(s)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	case balance.Semantics:
		return SemanticsName(x)
	case balance.Scope:
		return ScopeName(x)
	case balance.Reporting:
		return ReportingName(x)
	case float64:
		return strconv.FormatFloat(x, 'g', -1, 64)
	}
	return fmt.Sprint(v.Interface())
}

// printedName returns the name under which [Platform.Values] lists a field: its name tag, or its Go name if it
// has none.
func printedName(field reflect.StructField) string {
	return cmp.Or(field.Tag.Get("name"), field.Name)
}

// Values lists what a platform's configuration says, by the printed names of its fields. Its list of
// endpoints and its seed are left out: they differ with every start.
func (p *Platform) Values() []Value {
	var out []Value
	var walk func(v reflect.Value, path string)
	walk = func(v reflect.Value, path string) {
		switch {
		case v.Kind() == reflect.Struct:
			for i := range v.NumField() {
				walk(v.Field(i), path+"."+printedName(v.Type().Field(i)))
			}
		case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
			for i := range v.Len() {
				walk(v.Index(i), fmt.Sprintf("%s[%s]", path, cmp.Or(v.Index(i).FieldByName("Name").String(), strconv.Itoa(i))))
			}
		case !v.IsZero():
			out = append(out, Value{Path: strings.TrimPrefix(path, "."), Text: formatValue(v)})
		}
	}
	walk(reflect.ValueOf(struct {
		Name, Listen, Discovery string
		Limits                  Limits
		Zones, Layers           []string
		Settings                balance.Config
	}{p.Name, p.ListenAddress, p.DiscoveryAddress, p.Limits, p.Zones, p.Tiers, p.BalancerConfig}), "")
	return out
}
