package eventreader

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// TooLargeError reports that an event is larger than Limit bytes.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("eventreader: an event is larger than %d bytes", e.Limit)
}

// Read appends the next event, including the blank line that ends it, to dst and returns the
// extended slice. The error is io.EOF at the end of the stream, io.ErrUnexpectedEOF if the
// stream ends within an event, *TooLargeError if the event is larger than limit bytes, and
// otherwise the read error of in.
func Read(dst []byte, in *bufio.Reader, limit int) ([]byte, error) {
	begin := len(dst)
	atLineStart := true
	for {
		line, err := in.ReadSlice('\n')
		dst = append(dst, line...)
		switch {
		case len(dst)-begin > limit:
			return dst, &TooLargeError{Limit: limit}
		case errors.Is(err, bufio.ErrBufferFull):
			atLineStart = false
			continue
		case errors.Is(err, io.EOF) && len(dst) > begin:
			return dst, io.ErrUnexpectedEOF
		case err != nil:
			return dst, err
		}
		if atLineStart && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return dst, nil
		}
		atLineStart = true
	}
}

var idField = []byte("id:")

// ID returns the number in the event's id field. The result is false if the event has no id
// field or its first id is not a number.
func ID(event []byte) (int, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if text, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.Atoi(string(bytes.TrimSpace(text)))
			return id, err == nil
		}
		event = rest
	}
	return 0, false
}
