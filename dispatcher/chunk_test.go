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

// TestCharactersCount checks the character count against the decoded string.
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

// TestEventMeaning checks the content of events other than plain text, parsed by one reused chunk.
func TestEventMeaning(t *testing.T) {
	is := is.New(t)
	var c chunk
	for _, event := range []struct {
		text string
		want eventContent
		err  error
	}{
		{`{"choices":[{"delta":{"content":"sky"}}]}`, eventContent{length: 3}, nil},
		{`{"choices":[{"delta":{"role":"assistant"}}]}`, eventContent{opening: true}, nil},
		{`{"choices":[{"delta":{"tool_calls":[{"index":0}]}}]}`, eventContent{unresumable: true}, nil},
		{`{"choices":[{"delta":{}}]}`, eventContent{}, nil},
		{`{"choices":[{"delta":{"content":null}}],"usage":{}}`, eventContent{}, nil},
		{`{"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}`, eventContent{length: 1, unresumable: true}, nil},
		{`{"choices":[{"delta":{"content":7}}]}`, eventContent{unresumable: true}, nil},
		{`{"error":{"code":"memberLost"}}`, eventContent{}, errEngine},
		{`{"choices":[]}`, eventContent{}, nil},
		{`[DONE]`, eventContent{end: true}, nil},
	} {
		got, err := c.parse([]byte("id: 1\ndata: " + event.text + "\n\n"))
		is.Equal(got, event.want)
		is.True(errors.Is(err, event.err))
	}
}
