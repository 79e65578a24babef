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

// Key describes a key or a table of the operators' file. Its texts are those of the tags of Settings.
type Key struct {
	Path                          string // such as "callers.head_time" or "class.NAME.wanted"
	Type                          string // description of the value's type, such as "a size"
	Default, UnsetMeaning         string // both are set only if Default is "0" and stands for another value
	Min, Max                      string // empty for no bound
	Choices                       []string
	Doc                           string
	Reloadable, Required, IsTable bool // IsTable is for tables, such as [callers]
}

// Allowed returns a description of the values that a key may have, such as "a time from 50ms to 1m".
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

// Keys returns the schema: all tables and keys, in the order of the fields of Settings. Paths have NAME
// in place of a class's name.
func Keys() []Key {
	return appendKeys(reflect.TypeFor[Settings](), "", nil)
}

// appendKeys appends the keys of a table's type, and of the tables in it, to keys.
func appendKeys(table reflect.Type, prefix string, keys []Key) []Key {
	for i := range table.NumField() {
		field := table.Field(i)
		if field.Tag.Get("key") == "" {
			continue
		}
		k := keyFromField(field)
		k.Path = prefix + k.Path
		valueType := field.Type
		if valueType.Kind() == reflect.Map {
			k.Path += ".NAME"
			valueType = valueType.Elem().Elem()
		}
		k.IsTable = valueType.Kind() == reflect.Struct
		keys = append(keys, k)
		if k.IsTable {
			keys = appendKeys(valueType, k.Path+".", keys)
		}
	}
	return keys
}

// keyFromField returns the description of a field's key by its tags. Path is without the table's path,
// and IsTable is not set.
func keyFromField(f reflect.StructField) Key {
	k := Key{
		Path: f.Tag.Get("key"), Doc: f.Tag.Get("doc"), Default: f.Tag.Get("default"), UnsetMeaning: f.Tag.Get("unset"),
		Min: f.Tag.Get("min"), Max: f.Tag.Get("max"),
		Reloadable: f.Tag.Get("reload") == "live", Required: f.Tag.Get("required") != "", Type: typeName(f),
	}
	if choices := f.Tag.Get("choices"); choices != "" {
		k.Choices = strings.Split(choices, ",")
	}
	return k
}

// The types of settings whose values are strings with a unit.
var durationType, sizeType = reflect.TypeFor[time.Duration](), reflect.TypeFor[Size]()

// typeName returns the description of the type of a field's value, see [Key]. drumctl config write compares
// these texts to decide how to write a value, so they must not change.
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

// fieldByKey returns the field of a table's type that has a key.
func fieldByKey(table reflect.Type, key string) (reflect.StructField, bool) {
	for i := range table.NumField() {
		if f := table.Field(i); f.Tag.Get("key") == key && key != "" {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// keyNames returns the keys of a table's type.
func keyNames(table reflect.Type) []string {
	var keys []string
	for i := range table.NumField() {
		if key := table.Field(i).Tag.Get("key"); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// setScalar parses text, which is written as in a default or min tag, and sets target to its value.
func setScalar(target reflect.Value, text string) error {
	switch {
	case target.Type() == durationType:
		d, err := parseDuration(text)
		target.SetInt(int64(d))
		return err
	case target.Type() == sizeType:
		s, err := ParseSize(text)
		target.SetInt(int64(s))
		return err
	case target.Kind() == reflect.Int:
		n, err := strconv.Atoi(text)
		target.SetInt(int64(n))
		return err
	case target.Kind() == reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		target.SetFloat(v)
		return err
	case target.Kind() == reflect.String:
		target.SetString(text)
		return nil
	}
	return fmt.Errorf("%s can't be set from text", target.Type())
}

// setDefaults sets the fields of a table, and of the tables in it, to their defaults. It panics if a
// default tag is not valid, which the tests rule out.
func setDefaults(table reflect.Value) {
	for i := range table.NumField() {
		field, value := table.Type().Field(i), table.Field(i)
		if text := field.Tag.Get("default"); text != "" {
			if err := setScalar(value, text); err != nil {
				panic(fmt.Sprintf("config: default of %s: %v", field.Name, err))
			}
		} else if value.Kind() == reflect.Struct {
			setDefaults(value)
		}
	}
}

// DefaultSettings returns the settings that apply if there is no operators' file.
func DefaultSettings() *Settings {
	s := &Settings{SchemaVersion: SchemaVersion}
	setDefaults(reflect.ValueOf(s).Elem())
	return s
}

// inRange reports whether a value is within the bounds of its key, which are inclusive. It panics if a
// bound is not valid, which the tests rule out.
func inRange(v reflect.Value, k Key) bool {
	bound := func(text string) reflect.Value {
		limit := reflect.New(v.Type()).Elem()
		if err := setScalar(limit, text); err != nil {
			panic(fmt.Sprintf("config: bound of %s: %v", k.Path, err))
		}
		return limit
	}
	compare := func(x, y reflect.Value) int { // -1 if x < y, else 1
		switch {
		case v.Kind() == reflect.Float64:
			if !(x.Float() >= y.Float()) { // NaN counts as below any bound
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

// KeyPosition returns the position at which the file gives a key, such as "callers.head_time", and
// whether it gives it.
func (s *Settings) KeyPosition(path string) (Position, bool) {
	position, ok := s.keyPositions[path]
	return position, ok
}

// Value is the value of a key that is in effect. Text is the value as the file would write it.
type Value struct {
	Path, Text string
	Reloadable bool
}

// Values returns the values in effect, including defaults, but not keys that are neither given nor have
// a default. Two files with the same values have the same effect.
func (s *Settings) Values() []Value {
	return appendValues(reflect.ValueOf(s).Elem(), "", nil)
}

// appendValues appends the values in effect of a table, and of the tables in it, to values.
func appendValues(table reflect.Value, prefix string, values []Value) []Value {
	for i := range table.NumField() {
		f, v := table.Type().Field(i), table.Field(i)
		key := f.Tag.Get("key")
		switch {
		case key == "":
		case v.Kind() == reflect.Struct:
			values = appendValues(v, prefix+key+".", values)
		case v.Kind() == reflect.Map:
			for _, name := range sortedKeys(v) {
				values = appendValues(v.MapIndex(reflect.ValueOf(name)).Elem(), prefix+key+"."+quoteKey(name)+".", values)
			}
		case v.Kind() == reflect.Pointer && v.IsNil(), f.Tag.Get("default") == "" && v.IsZero():
		default:
			values = append(values, Value{prefix + key, formatValue(v), f.Tag.Get("reload") == "live"})
		}
	}
	return values
}

// formatValue returns a value as the file would write it, and a value of the balancer by the file's word.
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

// Values returns the values of a platform's configuration that are not zero, by the printed names of
// their fields. The list of endpoints and the seed are not included: they differ at every start.
func (p *Platform) Values() []Value {
	var values []Value
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
			values = append(values, Value{Path: strings.TrimPrefix(path, "."), Text: formatValue(v)})
		}
	}
	walk(reflect.ValueOf(struct {
		Name, Listen, Discovery string
		Limits                  Limits
		Zones, Layers           []string
		Settings                balance.Config
	}{p.Name, p.ListenAddress, p.DiscoveryAddress, p.Limits, p.Zones, p.Tiers, p.BalancerConfig}), "")
	return values
}
