package configurer

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"amaranthmill/internal/decoder"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/formatter"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
)

// The defaults of the optional settings.
const (
	defaultPlatformTimeout = 2 * time.Second
	defaultReadsPerSecond  = 20
	defaultWritesPerSecond = 10
	defaultBodySize        = 1 << 20
	defaultStopNotice      = 2 * time.Second
	defaultStopLimit       = time.Minute
	defaultLogLevel        = "info"
	defaultCallersMemoryMB = 64
)

// Read reads the settings file at path and fills in the defaults. If the settings are invalid,
// it returns a *decoder.DocumentError that lists all faults; if the file can't be read, the
// error of reading it.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "configurer: read settings")
	}
	return Parse(data)
}

// Parse parses settings as Read does, from data instead of a file.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := decoder.Decode(data, &s); err != nil {
		return nil, err
	}
	if err := validate(&s); err != nil {
		return nil, err
	}
	s.setDefaults()
	if least := leastMemoryMB(s.Limits.BodySize); s.Callers.MemoryMB < least {
		return nil, &decoder.DocumentError{Faults: []decoder.Fault{{
			Path: "callers.memoryMB", Message: fmt.Sprintf("is less than three bodies of limits.bodySize need; write %d or more, or 0 for the default", least),
		}}}
	}
	return &s, nil
}

// leastMemoryMB returns the least memory for requests in which a body of a size is served: its last buffer stands beside the one before, and a
// quarter of the memory is for small requests.
func leastMemoryMB(bodySize int64) int { return int((3*bodySize + 1<<20 - 1) >> 20) }

func (s *Settings) setDefaults() {
	defaulter.Set(&s.Platform.Timeout, formatter.Duration(defaultPlatformTimeout))
	defaulter.Set(&s.Platform.ReadsPerSecond, defaultReadsPerSecond)
	defaulter.Set(&s.Platform.WritesPerSecond, defaultWritesPerSecond)
	defaulter.Set(&s.Limits.BodySize, defaultBodySize)
	defaulter.Set(&s.Limits.StopNotice, formatter.Duration(defaultStopNotice))
	defaulter.Set(&s.Limits.StopLimit, formatter.Duration(defaultStopLimit))
	defaulter.Set(&s.Log.Level, defaultLogLevel)
	s.Callers.setDefaults(max(defaultCallersMemoryMB, leastMemoryMB(s.Limits.BodySize)))
}

// validate checks a pointer to settings against the validation rules of the struct tags. It
// returns a *decoder.DocumentError that lists every field that violates its rule.
func validate(s any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		a, ok := f.Interface().(netip.AddrPort)
		if !ok || !a.IsValid() {
			return ""
		}
		return a.String()
	}, netip.AddrPort{})
	err := v.Struct(s)
	var found validator.ValidationErrors
	if !errors.As(err, &found) {
		return err
	}
	out := &decoder.DocumentError{}
	for _, f := range found {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		out.Faults = append(out.Faults, decoder.Fault{Path: path, Message: describeFault(f)})
	}
	return out
}

// describeFault states in words how a field violates its rule and how to correct it.
func describeFault(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing; give it a value"
	case "oneof":
		return fmt.Sprintf("is %q; write one of: %s", f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	case "base64":
		return "is not base64; write the public key as `millctl keys signer` prints it"
	case "hexadecimal", "len":
		return "is not the hexadecimal SHA-256 of a token; write it as `millctl keys token` prints it"
	case "unique":
		return "has the same name twice; give each its own"
	case "min":
		return "is empty; list at least one"
	case "gt":
		return "is not above zero; write the figure that the platform names"
	case "gte":
		return "is negative; write 0 for the default or more"
	default:
		return "breaks the rule " + f.Tag()
	}
}
