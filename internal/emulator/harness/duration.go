package harness

import (
	"time"
)

// Duration is a time.Duration that is written as text such as "150ms" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Scale multiplies a duration; a factor of 0 counts as 1.
func Scale(d time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
