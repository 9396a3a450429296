package spawner

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestThawOfEndedProcess checks that Thaw reports a process that ended while it was frozen,
// with its signal and the end of its log.
func TestThawOfEndedProcess(t *testing.T) {
	is := is.New(t)
	ps := &Processes{Dir: t.TempDir()}
	p, err := ps.Start("entry-1", "/bin/sh", "-c", "echo lease lost; kill -KILL $$")
	is.NoErr(err)
	<-p.done
	var ended *EndedError
	is.True(errors.As(p.Thaw(), &ended))
	is.Equal(*ended, EndedError{Process: "entry-1", State: "signal: killed", LastLines: "lease lost\n"})
}
