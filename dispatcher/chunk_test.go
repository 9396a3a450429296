package dispatcher

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestCharactersCount holds the counting of characters against the decoded string.
func TestCharactersCount(t *testing.T) {
	var c chunk
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		quoted, err := json.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.parse(fmt.Appendf(nil, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", quoted))
		var decoded string
		if json.Unmarshal(quoted, &decoded) != nil || err != nil || got.length != utf8.RuneCountInString(decoded) {
			t.Fatalf("counted %d in %q: %v", got.length, text, err)
		}
	})
}

// TestEventMeaning holds what the events that are not plain text mean, one after another.
func TestEventMeaning(t *testing.T) {
	is := is.New(t)
	var c chunk
	for _, event := range []struct {
		text string
		want part
		err  error
	}{
		{`{"choices":[{"delta":{"content":"sky"}}]}`, part{length: 3}, nil},
		{`{"choices":[{"delta":{"role":"assistant"}}]}`, part{opening: true}, nil},
		{`{"choices":[{"delta":{"tool_calls":[{"index":0}]}}]}`, part{fixed: true}, nil},
		{`{"choices":[{"delta":{}}]}`, part{}, nil},
		{`{"choices":[{"delta":{"content":null}}],"usage":{}}`, part{}, nil},
		{`{"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}`, part{length: 1, fixed: true}, nil},
		{`{"choices":[{"delta":{"content":7}}]}`, part{fixed: true}, nil},
		{`{"error":{"code":"memberLost"}}`, part{}, errEngine},
		{`{"choices":[]}`, part{}, nil},
		{`[DONE]`, part{end: true}, nil},
	} {
		got, err := c.parse([]byte("id: 1\ndata: " + event.text + "\n\n"))
		is.Equal(got, event.want)
		is.True(errors.Is(err, event.err))
	}
}
