package scripter

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Start is the time of "at 0s" in a script.
var Start = time.Date(2026, time.January, 5, 20, 0, 0, 0, time.UTC)

// Session connects a core to a script. Handle applies ev at time now and returns the resulting
// actions, one string per line. An error fails the test with a message that quotes the event.
type Session interface {
	Handle(now time.Time, ev Event) ([]string, error)
}

// Event is one line of a script: a name and its key=value arguments.
type Event struct {
	Name string
	args map[string]string
}

// Has reports whether the line has the argument key.
func (e Event) Has(key string) bool {
	_, ok := e.args[key]
	return ok
}

// Str returns the argument key, or "" if it is absent.
func (e Event) Str(key string) string { return e.args[key] }

// List returns the argument key split at commas, or nil if it is absent or empty.
func (e Event) List(key string) []string {
	if e.args[key] == "" {
		return nil
	}
	return strings.Split(e.args[key], ",")
}

// Int returns the argument key as a number, or 0 if it is absent. It panics on any other text.
func (e Event) Int(key string) int {
	if !e.Has(key) {
		return 0
	}
	return must(strconv.Atoi(e.args[key]))
}

// Bool returns the argument key as a boolean, or false if it is absent. It panics on any other text.
func (e Event) Bool(key string) bool {
	if !e.Has(key) {
		return false
	}
	return must(strconv.ParseBool(e.args[key]))
}

// Duration returns the argument key as a duration, or 0 if it is absent. It panics on any other text.
func (e Event) Duration(key string) time.Duration {
	if !e.Has(key) {
		return 0
	}
	return must(time.ParseDuration(e.args[key]))
}

// AddrPort returns the argument key as an address, or the zero value if it is absent. It panics on any other text.
func (e Event) AddrPort(key string) netip.AddrPort {
	if !e.Has(key) {
		return netip.AddrPort{}
	}
	return must(netip.ParseAddrPort(e.args[key]))
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Run runs each script in the directory tree dir as a subtest. It calls newSession for each file.
func Run(t *testing.T, dir string, newSession func(t *testing.T) Session) {
	t.Helper()
	datadriven.Walk(t, dir, func(t *testing.T, path string) {
		s := newSession(t)
		lastTime := Start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			lines := eventLines(d)
			var out []string
			for _, line := range lines {
				now, ev, err := parseLine(line)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				if now.Before(lastTime) {
					d.Fatalf(t, "time goes back at %q", line)
				}
				lastTime = now
				actions, err := s.Handle(now, ev)
				if err != nil {
					d.Fatalf(t, "%q: %v", line, err)
				}
				out = append(out, actions...)
			}
			if len(out) == 0 {
				return "(no action)\n"
			}
			return strings.Join(out, "\n") + "\n"
		})
	})
}

// eventLines returns the event lines of one paragraph: the line that datadriven parsed as the
// directive, followed by the lines of its input.
func eventLines(d *datadriven.TestData) []string {
	first := d.Cmd
	for _, a := range d.CmdArgs {
		first += " " + a.String()
	}
	lines := []string{first}
	for line := range strings.SplitSeq(d.Input, "\n") {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines
}

// parseLine reads "at <offset> <name> key=value ...".
func parseLine(line string) (time.Time, Event, error) {
	words := strings.Fields(line)
	if len(words) < 3 || words[0] != "at" {
		return time.Time{}, Event{}, fmt.Errorf("scripter: want \"at <offset> <event> ...\", got %q", line)
	}
	offset, err := time.ParseDuration(words[1])
	if err != nil {
		return time.Time{}, Event{}, fmt.Errorf("scripter: %w", err)
	}
	ev := Event{Name: words[2], args: map[string]string{}}
	for _, w := range words[3:] {
		key, value, _ := strings.Cut(w, "=")
		ev.args[key] = strings.Trim(value, "()")
	}
	return Start.Add(offset), ev, nil
}
