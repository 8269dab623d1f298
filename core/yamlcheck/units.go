package yamlcheck

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// Duration is a non-negative duration, written with a unit: 250ms, 3s, 1m30s.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats d with its unit, like time.Duration.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// Expected implements Expecter.
func (Duration) Expected() string {
	return "a duration with unit, such as 250ms or 3s"
}

// UnmarshalText implements encoding.TextUnmarshaler. A text without a unit is an error,
// even 0.
func (d *Duration) UnmarshalText(text []byte) error {
	s := string(text)
	if !strings.ContainsFunc(s, unicode.IsLetter) {
		return errors.New("duration has no unit")
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return err
	}
	if parsed < 0 {
		return errors.New("duration is negative")
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Size is a non-negative number of bytes, written with a unit: 512B, 64KiB, 16MiB.
type Size int64

// Units of Size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

type sizeUnit struct {
	name  string
	bytes Size
}

// sizeUnits is in descending order. "B" must be last, because it is a suffix of all other
// units.
var sizeUnits = []sizeUnit{
	{"GiB", GiB},
	{"MiB", MiB},
	{"KiB", KiB},
	{"B", Byte},
}

// Expected implements Expecter.
func (Size) Expected() string {
	return "a size with unit B, KiB, MiB or GiB, such as 64KiB"
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(string(text), u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 63)
		if err != nil {
			return fmt.Errorf("size: %w", err)
		}
		if n > uint64((1<<63-1)/u.bytes) {
			return errors.New("size is out of range")
		}
		*s = Size(n) * u.bytes
		return nil
	}
	return errors.New("size has no unit")
}

// String formats s in the largest unit of which it is a multiple.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s >= u.bytes && s%u.bytes == 0 {
			return strconv.FormatInt(int64(s/u.bytes), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}
