package hosted_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
)

// Times and sizes of the tests of an engine without instances.
const (
	shortSilence = 500 * time.Millisecond
	quietTime    = 150 * time.Millisecond // without a byte, after which an engine is taken as silent
	shortStream  = 5                      // events
)

// singleEngine is an engine that a test calls directly.
type singleEngine struct {
	*hosted.Engine
	address string
}

// startEngine starts an endpoint of the plain service or, with a fabric domain, the head of a
// group of one engine.
func startEngine(t *testing.T, domain string) singleEngine {
	t.Helper()
	is := is.New(t)
	p, err := hosted.Start([]hosted.Model{{Name: "small", GroupSize: 1}})
	is.NoErr(err)
	t.Cleanup(p.Close)
	var out singleEngine
	p.ListedAddress = func(_, address string) (string, error) {
		out.address = address
		return address, nil
	}
	out.Engine, err = p.AddEngine("e1", "here", domain, shortStream)
	is.NoErr(err)
	if domain == "" {
		return out
	}
	is.Equal(out.order(`{"op":"join","group":"g1","epoch":1,"model":"small","members":["e1"]}`), http.StatusAccepted)
	for end := time.Now().Add(waitLimit); out.order(`{"op":"open","group":"g1","epoch":1}`) != http.StatusAccepted; {
		is.True(time.Now().Before(end)) // the engine is ready
	}
	for end := time.Now().Add(waitLimit); !out.IsHead(); {
		is.True(time.Now().Before(end)) // the group is open
	}
	return out
}

// order gives the engine an order and returns the status of its answer, or zero.
func (e singleEngine) order(body string) int {
	resp, err := http.Post("http://"+e.address+"/v1/order", "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// request sends a request on a connection of its own and returns the connection.
func (e singleEngine) request(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /brief HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Attempt-Id: a1\r\nX-Target-Instance: e1\r\nContent-Length: 0\r\n\r\n", hosted.Host)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// readUntilQuiet returns what arrives until no byte has arrived for quietTime.
func readUntilQuiet(c net.Conn) string {
	var out strings.Builder
	buf := make([]byte, 1<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(quietTime))
		n, err := c.Read(buf)
		out.Write(buf[:n])
		if err != nil {
			return out.String()
		}
	}
}

// readBody reads the rest of an answer, whose first bytes are given, and returns its body.
func readBody(c net.Conn, first string) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(first), c)), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// wholeStream is the body of a stream of shortStream events.
func wholeStream() string {
	var out strings.Builder
	for id := range shortStream {
		fmt.Fprintf(&out, "id: %d\ndata: a1\n\n", id)
	}
	return out.String()
}

// TestSilence checks how much of an answer arrives during a silence of its engine, and that the
// answer is complete after it.
func TestSilence(t *testing.T) {
	const plainBody = "POST /brief for "
	tests := map[string]struct {
		domain  string
		point   hosted.SilencePoint
		body    string
		present string // a part of what arrives during the silence
		absent  string // a text that does not arrive during the silence
	}{
		"stream, before header":      {"d1", hosted.BeforeHeader, wholeStream(), "", "H"},
		"stream, before first event": {"d1", hosted.BeforeFirstEvent, wholeStream(), "\r\n\r\n", "id: "},
		"stream, inside event":       {"d1", hosted.InsideEvent, wholeStream(), "id: 0\nda", "\n\n"},
		"plain, before header":       {"", hosted.BeforeHeader, plainBody, "", "H"},
		"plain, before body":         {"", hosted.BeforeFirstEvent, plainBody, "\r\n\r\n", "POST"},
		"plain, inside body":         {"", hosted.InsideEvent, plainBody, "POST /br", "POST /brief"},
	}
	for name, test := range tests {
		for _, unframed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unframed=%t", name, unframed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				e := startEngine(t, test.domain)
				e.SetUnframed(unframed)
				e.Silence(test.point, shortSilence)
				c := e.request(t)
				first := readUntilQuiet(c)
				is.True(strings.Contains(first, test.present))
				is.True(!strings.Contains(first, test.absent))
				body, err := readBody(c, first)
				is.NoErr(err)
				is.Equal(body, test.body)
				is.Equal(e.Runs("a1"), 1)
			})
		}
	}
}

// TestSilenceBetweenEvents checks that a stream that has begun waits for the end of a silence and
// is complete then.
func TestSilenceBetweenEvents(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, "d1")
	c := e.request(t)
	buf := make([]byte, 1<<10)
	n, err := c.Read(buf)
	is.NoErr(err)
	e.Silence(hosted.BeforeHeader, shortSilence)
	first := string(buf[:n]) + readUntilQuiet(c)
	is.True(!strings.Contains(first, fmt.Sprintf("id: %d", shortStream-1)))
	body, err := readBody(c, first)
	is.NoErr(err)
	is.Equal(body, wholeStream())
}

// TestSilentEngineDelaysReportsAndOrders checks that a silent engine answers reports and orders,
// and carries orders out, only after its silence.
func TestSilentEngineDelaysReportsAndOrders(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, "d1")
	client := http.Client{Timeout: quietTime}
	e.Silence(hosted.BeforeHeader, shortSilence)
	_, err := client.Get("http://" + e.address + "/v1/report")
	is.True(isTimeout(err))
	_, err = client.Post("http://"+e.address+"/v1/order", "application/json", strings.NewReader(`{"op":"close","group":"g1","epoch":1}`))
	is.True(isTimeout(err))
	is.True(e.IsHead())
	is.Equal(getStatus("http://"+e.address+"/v1/report"), http.StatusOK)
	is.Equal(e.order(`{"op":"close","group":"g1","epoch":1}`), http.StatusAccepted) // the one before closed the group, or its caller had left before it was read
	is.True(!e.IsHead())
}

// TestUnframedAnswer checks that an answer without a length and without chunks ends with its
// connection, and that a killed engine resets that connection, so that the answer does not look
// complete.
func TestUnframedAnswer(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, "d1")
	e.SetUnframed(true)
	c := e.request(t)
	text, err := io.ReadAll(c)
	is.NoErr(err)
	header, body, _ := strings.Cut(string(text), "\r\n\r\n")
	is.True(strings.Contains(header, "Connection: close"))
	is.True(!strings.Contains(header, "Content-Length") && !strings.Contains(header, "Transfer-Encoding"))
	is.Equal(body, wholeStream())
	c = e.request(t)
	_, err = c.Read(make([]byte, 1<<10))
	is.NoErr(err)
	e.Kill()
	_, err = io.ReadAll(c)
	is.True(err != nil)
}

// TestBrokenStream checks that a stream breaks off inside the chosen event.
func TestBrokenStream(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		t.Run(fmt.Sprintf("unframed=%t", unframed), func(t *testing.T) {
			is := is.New(t)
			e := startEngine(t, "d1")
			e.SetUnframed(unframed)
			e.BreakStreams(1)
			body, err := readBody(e.request(t), "")
			is.Equal(err == nil, unframed)
			is.Equal(body, "id: 0\ndata: a1\n\nid: 1\nda")
		})
	}
}
