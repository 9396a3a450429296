package diagnoser

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// Line is one log line. Fields that Diagnose does not use are only in Text.
type Line struct {
	Time        time.Time
	Instance    string
	Message     string
	Request     string
	From        string // instance that accepted the request, in lines of the peer that sent it to endpoints
	Pool        string
	Endpoint    string
	Group       string
	Model       string
	Fingerprint string // of a request, over all tries of its callers
	Outcome     string
	Reason      string
	Age         time.Duration // age of the request at Time
	Text        string        // the line from its first brace on
}

// lineWire is the JSON form of a line, with Time in Unix milliseconds and Age in milliseconds.
type lineWire struct {
	Time        int64   `json:"time"`
	Instance    string  `json:"instance"`
	Message     string  `json:"message"`
	Request     string  `json:"request"`
	From        string  `json:"from"`
	Pool        string  `json:"pool"`
	Endpoint    string  `json:"endpoint"`
	Group       string  `json:"group"`
	Model       string  `json:"model"`
	Fingerprint string  `json:"fingerprint"`
	Outcome     string  `json:"outcome"`
	Reason      string  `json:"reason"`
	Age         float64 `json:"age"`
}

// parseLine parses a line. It ignores any text before the first brace, such as the prefix that a
// log collector adds. The result is false if the line is not a log line in JSON.
func parseLine(text []byte) (Line, bool) {
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
		Time: time.UnixMilli(w.Time).UTC(), Instance: w.Instance, Message: w.Message, Request: w.Request, From: w.From, Pool: w.Pool, Endpoint: w.Endpoint,
		Group: w.Group, Model: w.Model, Fingerprint: w.Fingerprint, Outcome: w.Outcome, Reason: w.Reason, Age: time.Duration(w.Age * float64(time.Millisecond)), Text: string(text),
	}, true
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Read reads the lines of a log. It also returns the number of lines that it could not parse,
// such as truncated ones. It stops at a line that is longer than maxLineBytes.
func Read(r io.Reader) (lines []Line, unread int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if line, ok := parseLine(bytes.TrimSpace(in.Bytes())); ok {
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
