package limitreader_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/internal/limitreader"
)

// TestLimit checks that an input as long as the limit is read whole, and that a longer one is an
// error after as many bytes.
func TestLimit(t *testing.T) {
	is := is.New(t)
	text, err := io.ReadAll(limitreader.New(strings.NewReader("12345"), "a report", 5))
	is.NoErr(err)
	is.Equal(string(text), "12345")
	text, err = io.ReadAll(limitreader.New(strings.NewReader("123456"), "a report", 5))
	var limit *limitreader.LimitError
	is.True(errors.As(err, &limit))
	is.Equal(limit.Limit, int64(5))
	is.Equal(limit.What, "a report")
	is.Equal(string(text), "12345")
}

// TestChangedLimit checks that a limit counts from the time at which it is set, until it is removed.
func TestChangedLimit(t *testing.T) {
	is := is.New(t)
	r := limitreader.NewUnlimited(strings.NewReader("1234567890"))
	buf := make([]byte, 4)
	_, err := io.ReadFull(r, buf)
	is.NoErr(err)
	r.SetLimit("a head", 2)
	n, err := io.ReadFull(r, buf)
	is.Equal(n, 2)
	is.True(errors.As(err, new(*limitreader.LimitError)))
	r.RemoveLimit()
	rest, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(string(rest), "890") // the byte that exceeded the limit is lost
}
