package trial

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/internal/builder"
)

// Figures of the tests of misbehaving clients.
const (
	clientsMemoryMB   = 256              // 128 that a node may spend on control, 64 for requests by default, and as much again until it is collected
	clientsBodyBytes  = 1 << 20          // limit of one body by default
	clientsWriteTime  = 10 * time.Second // after which a client that sends without end stops
	clientsSlack      = 150              // descriptors that an instance uses beside those of callers
	clientsChunkCount = 100_000
	clientsAllowed    = 100 // connections, where their number is limited
)

// clientSender sends what one client of a crowd sends, over its connection.
type clientSender func(w io.Writer, head string)

// repeat writes a text until the connection takes no more.
func repeat(w io.Writer, text string) {
	block := strings.Repeat(text, 1+4096/len(text))
	for {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
	}
}

// TestClientsOfServer sends what clients must not send, or what stops short, to the callers' interface of a system with bundles, over many connections at
// once, which stay open. An instance that keeps all of it runs out of memory and ends, and the requests of all other callers with it.
func TestClientsOfServer(t *testing.T) {
	bin := t.TempDir()
	if err := builder.Build(bin, "amaranthmill/cmd/amaranthmill", "amaranthmill/cmd/millctl", "amaranthmill/standin/cmd/standin"); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		connections int
		send        clientSender
	}{
		"bodies_short_of_end": {400, func(w io.Writer, head string) {
			_, _ = io.WriteString(w, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", clientsBodyBytes)+strings.Repeat(" ", clientsBodyBytes-1))
		}},
		"small_chunks": {800, func(w io.Writer, head string) {
			_, _ = io.WriteString(w, head+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("4\r\n    \r\n", clientsChunkCount))
		}},
		"fields_without_end": {400, func(w io.Writer, head string) {
			_, _ = io.WriteString(w, head)
			repeat(w, "X-Field: value\r\n")
		}},
		"empty_lines":                  {400, func(w io.Writer, _ string) { repeat(w, "\r\n") }},
		"connections_that_say_nothing": {400, func(io.Writer, string) {}},
	} {
		t.Run(name, func(t *testing.T) {
			tr := startClientsTrial(t, bin, nil)
			tr.meetCrowd(t, c.connections, c.send)
			tr.checkSurvival(t, c.connections+clientsSlack)
		})
	}
	t.Run("short_bodies_do_not_stay", func(t *testing.T) {
		tr := startClientsTrial(t, bin, nil)
		tr.meetCrowd(t, 400, func(w io.Writer, head string) {
			_, _ = io.WriteString(w, head+"Mill-Timeout: 2s\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat(" ", 1000))
		})
		is := is.New(t)
		is.NoErr(tr.awaitOrdinary()) // its connection is accepted after all others
		is.NoErr(waitFor(startLimit, "the connections end", func() bool { return countDescriptors(t, tr.fleet.entries[0]) < clientsSlack }))
		tr.checkSurvival(t, clientsSlack)
	})
	t.Run("more_connections_than_allowed", func(t *testing.T) {
		tr := startClientsTrial(t, bin, map[string]any{"maxConnections": clientsAllowed})
		tr.meetCrowd(t, 4*clientsAllowed, func(io.Writer, string) {})
		tr.checkSurvival(t, clientsAllowed+clientsSlack)
	})
}

// startClientsTrial starts a system with limits of callers, nil for the defaults, whose first instance answers an ordinary request.
func startClientsTrial(t *testing.T, bin string, callers map[string]any) *trial {
	is := is.New(t)
	f, err := newFleet(bin, t.TempDir())
	is.NoErr(err)
	f.callers = callers
	t.Cleanup(f.processes.KillAll)
	tr := &trial{cfg: Config{Bin: bin, Out: io.Discard}, fleet: f, startTime: time.Now()}
	is.NoErr(tr.startFleet())
	is.NoErr(tr.rollOutBundle())
	is.NoErr(tr.awaitOrdinary())
	return tr
}

// checkSurvival checks that the first instance lives, answers an ordinary request, and stays within a bound of memory and a number of descriptors.
func (t *trial) checkSurvival(test *testing.T, descriptors int) {
	is := is.New(test)
	e := t.fleet.entries[0]
	is.NoErr(t.awaitOrdinary())
	is.True(e.process.IsRunning())
	peak, open := readPeakMemory(test, e), countDescriptors(test, e)
	test.Logf("%d MB at most, %d descriptors", peak, open)
	is.True(peak < clientsMemoryMB)
	is.True(open <= descriptors)
}

// awaitOrdinary waits until the first instance answers an ordinary request over a new connection.
func (t *trial) awaitOrdinary() error {
	http.DefaultClient.CloseIdleConnections()
	return waitFor(startLimit, "an ordinary request is answered", func() bool {
		status, _ := t.sendCompletion(t.fleet.entries[0], "How is the seeing?")
		return status == http.StatusOK
	})
}

// meetCrowd opens connections to the first instance at once and returns when each has sent what it sends. They stay open until the test ends.
func (t *trial) meetCrowd(test *testing.T, connections int, send clientSender) {
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: mill\r\nAuthorization: Bearer %s\r\n", t.fleet.keys["observatory"].Key)
	var clients sync.WaitGroup
	for range connections {
		clients.Go(func() {
			conn, err := net.Dial("tcp", t.fleet.entries[0].callers.String())
			if err != nil {
				return // the instance takes no more connections
			}
			test.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(clientsWriteTime))
			send(conn, head)
		})
	}
	clients.Wait()
}

// readPeakMemory returns the most resident memory that the process of an instance has used, in MB, as the kernel counts it.
func readPeakMemory(t *testing.T, e *entry) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.ID()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes := 0
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		t.Fatal(err)
	}
	return kilobytes >> 10
}

// countDescriptors returns the number of descriptors that the process of an instance has open.
func countDescriptors(t *testing.T, e *entry) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.process.ID()))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}
