package formatter

import "time"

// Duration is a time.Duration that is encoded in JSON as text such as "1.5s".
// The zero value is "0s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the format of time.Duration.String.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText returns d in the format of time.Duration.String. The error is always nil.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses text with time.ParseDuration and returns its error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
