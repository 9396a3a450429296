package formatter

import "time"

// Duration is a time.Duration that reads and writes as text, such as "1.5s", in JSON.
// The zero value is "0s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the form of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes d in the form of time.Duration. It returns no error.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the form that time.ParseDuration takes and returns its error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
