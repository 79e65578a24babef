package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"barleydrum.example/barleydrum/internal/discovery"
)

// Size is a number of bytes. In a file it is a string with a unit, such as "64KiB".
type Size int64

// sizeUnits are the units of sizes. String takes the first binary unit that fits, so larger ones
// precede smaller ones. ParseSize takes the first unit that a text ends with, so "B", with which the
// names of all units end, is last.
var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}, {"B", 1},
}

// ParseSize parses a size: a whole or decimal number and a unit, which together must be a whole
// number of bytes. Zero needs no unit.
func ParseSize(text string) (Size, error) {
	if text == "0" {
		return 0, nil
	}
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		number = strings.TrimSpace(number)
		bytes, err := strconv.ParseFloat(number, 64)
		bytes *= float64(unit.bytes)
		if err != nil || strings.Trim(number, "0123456789.") != "" || bytes > math.MaxInt64/2 || bytes != math.Trunc(bytes) {
			break
		}
		return Size(bytes), nil
	}
	return 0, fmt.Errorf("%q is not a size such as \"64KiB\"", text)
}

// String returns the size with the largest binary unit (KiB to TiB) of which it is a whole
// multiple, else in bytes. ParseSize accepts the result.
func (s Size) String() string {
	if s == 0 {
		return "0"
	}
	for _, unit := range sizeUnits {
		if int64(s)%unit.bytes == 0 && strings.Contains(unit.name, "i") {
			return fmt.Sprintf("%d%s", int64(s)/unit.bytes, unit.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// parseDuration parses a time, such as "1540ms" or "1m30s".
func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time such as \"1540ms\"", text)
	}
	return d, nil
}

// FormatDuration returns a time as a whole number of the largest unit that allows it: "1540ms" and
// "100s", not "1.54s" and "1m40s".
func FormatDuration(d time.Duration) string {
	for _, unit := range []struct {
		name     string
		duration time.Duration
	}{{"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}, {"ms", time.Millisecond}, {"us", time.Microsecond}} {
		if d != 0 && d%unit.duration == 0 {
			return fmt.Sprintf("%d%s", d/unit.duration, unit.name)
		}
	}
	if d == 0 {
		return "0s"
	}
	return fmt.Sprintf("%dns", d)
}

// maxNameBytes is the longest name. It is bounded because callers send class names in a header field.
const maxNameBytes = 64

// checkText returns an error if text is not valid for a kind tag of Settings: "address", "path" or
// "name". Text of any other kind is valid.
func checkText(kind, text string) error {
	switch kind {
	case "address":
		return discovery.CheckAddress(text)
	case "path":
		if !strings.HasPrefix(text, "/") || len(text) > 1024 || !isVisibleASCII(text) {
			return fmt.Errorf("%.60q is not a path such as \"/load\"", text)
		}
	case "name":
		if text == "" || len(text) > maxNameBytes || !isVisibleASCII(text) {
			return fmt.Errorf("%.70q is not a name of 1 to %d visible ASCII characters", text, maxNameBytes)
		}
	}
	return nil
}

// isVisibleASCII reports whether text has visible ASCII characters only. Others, and spaces, can't
// be sent in a header field.
func isVisibleASCII(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
