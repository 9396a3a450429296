package diagnoser_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/diagnoser"
)

// readLines returns the log of three instances around nine requests.
func readLines(t *testing.T) []diagnoser.Line {
	t.Helper()
	f, err := os.Open("testdata/three.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	all, unread, err := diagnoser.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	is.New(t).Equal(unread, 1) // the last line is truncated
	return all
}

// The diagnosis of a request has its own lines and those about what it depended on, and no others.
func TestDiagnose(t *testing.T) {
	all := readLines(t)
	tests := map[string]struct {
		messages []string
		verdict  string
	}{
		"full-1":        {[]string{"groups", "queued", "ended"}, "its turn would have come too late"},
		"paused-1":      {[]string{"placed", "target stands still", "attempt given up", "placed", "group", "ended"}, "the whole answer"},
		"revoked-1":     {[]string{"configuration in force", "configuration in force", "refused"}, "refused by what the configuration says (unknownKey)"},
		"moved-1":       {[]string{"placed", "attempt ended", "group", "ended"}, "each target refused it"},
		"quarantined-1": {[]string{"request under which endpoints ended", "request under which endpoints ended", "ended"}, "held back for an hour"},
		"suspected-1":   {[]string{"request under which endpoints ended", "ended", "request under which endpoints ended"}, "another copy ran"},
		"hop-1": {[]string{
			"instance is cut off from endpoints", "peers reach endpoints that this instance does not", "sent through a peer", "placed", "ended", "ended", "instance reaches its endpoints again",
		}, "the whole answer"},
		"cut-1": {[]string{
			"instance is cut off from endpoints", "peers reach endpoints that this instance does not", "attempt ended", "ended", "instance reaches its endpoints again",
		}, "lost its links"},
		"killed-1": {[]string{"placed", "instance runs"}, "no line says how it ended"},
	}
	for request, test := range tests {
		t.Run(request, func(t *testing.T) {
			is := is.New(t)
			diagnosis, err := diagnoser.Diagnose(request, all)
			is.NoErr(err)
			var messages []string
			for _, l := range diagnosis.Lines {
				messages = append(messages, l.Message)
			}
			is.Equal(messages, test.messages)
			is.True(strings.Contains(diagnosis.Verdict, test.verdict))
		})
	}
}

func TestDiagnoseUnknown(t *testing.T) {
	is := is.New(t)
	_, err := diagnoser.Diagnose("none", readLines(t))
	var missing *diagnoser.NotFoundError
	is.True(errors.As(err, &missing))
	is.Equal(missing.Request, "none")
}

func ExampleDiagnose() {
	log := `{"time":1000,"instance":"alpine-1","request":"r1","pool":"guides/large","age":6.2,"outcome":"notRun","reason":"full","message":"ended"}
{"time":900,"instance":"marfa-1","model":"large","serving":2,"share":7.5,"message":"groups"}
{"time":900,"instance":"marfa-1","model":"small","serving":15,"share":15,"message":"groups"}`
	all, _, _ := diagnoser.Read(strings.NewReader(log))
	diagnosis, _ := diagnoser.Diagnose("r1", all)
	for _, l := range diagnosis.Lines {
		fmt.Println(l.Instance, l.Message)
	}
	fmt.Println(diagnosis.Verdict)
	// Output:
	// marfa-1 groups
	// alpine-1 ended
	// refused, not run: its turn would have come too late; look at groups, serving against share
}
