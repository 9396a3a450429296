package diagnoser

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// Line is one log line. Fields that the diagnosis does not go by are in Text.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Request  string
	Pool     string
	Endpoint string
	Group    string
	Model    string
	Outcome  string
	Reason   string
	Age      time.Duration // of the request
	Text     string        // the whole line
}

// lineWire is a line as instances write it.
type lineWire struct {
	Time     int64   `json:"time"`
	Instance string  `json:"instance"`
	Message  string  `json:"message"`
	Request  string  `json:"request"`
	Pool     string  `json:"pool"`
	Endpoint string  `json:"endpoint"`
	Group    string  `json:"group"`
	Model    string  `json:"model"`
	Outcome  string  `json:"outcome"`
	Reason   string  `json:"reason"`
	Age      float64 `json:"age"`
}

// parse reads a line. What stands before the first brace, such as a collector's prefix, does not matter.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	text = text[start:]
	var w lineWire
	if err := json.Unmarshal(text, &w); err != nil || w.Message == "" {
		return Line{}, false
	}
	return Line{
		Time: time.UnixMilli(w.Time).UTC(), Instance: w.Instance, Message: w.Message, Request: w.Request, Pool: w.Pool, Endpoint: w.Endpoint,
		Group: w.Group, Model: w.Model, Outcome: w.Outcome, Reason: w.Reason, Age: time.Duration(w.Age * float64(time.Millisecond)), Text: string(text),
	}, true
}

// longestLine bounds a line, in bytes.
const longestLine = 1 << 20

// Read reads the lines of a log. It returns how many it could not read besides, such as those that were cut off.
func Read(r io.Reader) (lines []Line, unread int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, longestLine)
	for in.Scan() {
		if line, ok := parse(bytes.TrimSpace(in.Bytes())); ok {
			lines = append(lines, line)
		} else {
			unread++
		}
	}
	if err := in.Err(); errors.Is(err, bufio.ErrTooLong) {
		return lines, unread + 1, nil
	}
	return lines, unread, in.Err()
}
