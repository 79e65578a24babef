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

var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}, {"B", 1},
}

// ParseSize reads a size: a whole or decimal number and a unit. Zero needs no unit.
func ParseSize(text string) (Size, error) {
	if text == "0" {
		return 0, nil
	}
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		number = strings.TrimSpace(number)
		v, err := strconv.ParseFloat(number, 64)
		v *= float64(u.bytes)
		if err != nil || strings.Trim(number, "0123456789.") != "" || v > math.MaxInt64/2 || v != math.Trunc(v) {
			break
		}
		return Size(v), nil
	}
	return 0, fmt.Errorf("%q is not a size such as \"64KiB\"", text)
}

// String writes a size with the largest unit that leaves it whole.
func (s Size) String() string {
	if s == 0 {
		return "0"
	}
	for _, u := range sizeUnits {
		if int64(s)%u.bytes == 0 && strings.Contains(u.name, "i") {
			return fmt.Sprintf("%d%s", int64(s)/u.bytes, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// parseDuration reads a time, such as "1540ms" or "1m30s".
func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time such as \"1540ms\"", text)
	}
	return d, nil
}

// FormatDuration writes a time as people write it: "1540ms" and "10s", not "1.54s" and "1m40s".
func FormatDuration(d time.Duration) string {
	for _, u := range []struct {
		name string
		d    time.Duration
	}{{"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}, {"ms", time.Millisecond}, {"us", time.Microsecond}} {
		if d != 0 && d%u.d == 0 {
			return fmt.Sprintf("%d%s", d/u.d, u.name)
		}
	}
	if d == 0 {
		return "0s"
	}
	return fmt.Sprintf("%dns", d)
}

// maxNameBytes is the most bytes of a name: callers send class names in a header.
const maxNameBytes = 64

// checkText checks a string of a kind, see Settings.
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

// isVisibleASCII tells whether a text has visible ASCII characters only: others don't fit in a header.
func isVisibleASCII(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
