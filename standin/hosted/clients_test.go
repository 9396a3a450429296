package hosted_test

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
	"amaranthmill/standin/relayer"
)

// Figures of the tests of misbehaving clients. The memory is that of the smallest machine of the deployments.
const (
	clientsMachineMB    = 136
	clientsBodyBytes    = 4 << 20          // limit of one body
	clientsHeaderBytes  = 16 << 10         // limit of one head
	clientsWriteTime    = 10 * time.Second // after which a client that sends without end stops
	clientsSlack        = 100              // descriptors that an instance uses beside those of callers
	clientsEndpoints    = 4
	ordinaryBodyBytes   = 1000
	ordinaryTimeout     = 3 * time.Second // of one try of the ordinary request
	clientsPauseOfPiece = 10 * time.Millisecond
)

// client is one connection of a crowd. It stays open until the checks are done.
type client struct {
	net.Conn
	number int
}

// write writes a text. It returns false if the instance has closed the connection, or the time of the crowd is over.
func (c *client) write(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// repeat writes a text until the connection takes no more.
func (c *client) repeat(text string) {
	block := strings.Repeat(text, 1+4096/len(text))
	for c.write(block) {
	}
}

// head returns the head of a request of the plain service without the empty line at its end.
func (c *client) head(fields string) string {
	return fmt.Sprintf("POST /holds/7 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: client-%d\r\nX-Deadline-Remaining: 8000\r\nAuthorization: Token %s\r\n%s",
		hosted.Host, c.number, hosted.APIKey, fields)
}

// crowd is a number of connections that misbehave in the same way.
type crowd struct {
	connections int
	send        func(c *client)
}

// sendBody sends a body of the largest legal size without its last omitted bytes, in pieces with pauses between them.
func sendBody(omitted, piece int, pause time.Duration) func(c *client) {
	return func(c *client) {
		ok := c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", clientsBodyBytes)))
		for left := clientsBodyBytes - omitted; ok && left > 0; left -= piece {
			ok = c.write(strings.Repeat("x", min(piece, left)))
			time.Sleep(pause)
		}
	}
}

// sendChunks sends a body in count chunks of a size, without the last chunk.
func sendChunks(size, count int) func(c *client) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	perWrite := max(1, min(count, 4096/len(chunk)))
	block := strings.Repeat(chunk, perWrite)
	return func(c *client) {
		ok := c.write(c.head("Transfer-Encoding: chunked\r\n\r\n"))
		for n := 0; ok && n < count; n += perWrite {
			ok = c.write(block)
		}
	}
}

// shortFields returns distinct fields of a few bytes each, n bytes in all.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.String()
}

var shortFieldsOfLegalSize = shortFields(clientsHeaderBytes - 1024)

// clientCrowds are the crowds by the name of what they send.
var clientCrowds = map[string]crowd{
	"field_without_end":        {600, func(c *client) { c.write(c.head("X-Field: ")); c.repeat("x") }},
	"fields_without_end":       {600, func(c *client) { c.write(c.head("")); c.repeat("X-Field: value\r\n") }},
	"request_line_without_end": {600, func(c *client) { c.write("GET /"); c.repeat("x") }},
	"heads_of_short_fields":    {600, func(c *client) { c.write(c.head(shortFieldsOfLegalSize)) }},
	"empty_lines":              {400, func(c *client) { c.repeat("\r\n") }},
	"empty_lines_after_answer": {400, func(c *client) {
		if c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", ordinaryBodyBytes)) + strings.Repeat("x", ordinaryBodyBytes)) {
			c.repeat("\r\n")
		}
	}},
	"bodies_whole":          {100, sendBody(0, clientsBodyBytes, 0)},
	"bodies_short_of_end":   {100, sendBody(1, clientsBodyBytes, 0)},
	"bodies_piece_by_piece": {100, sendBody(1, 64<<10, clientsPauseOfPiece)},
	"large_chunks":          {100, sendChunks(32<<10, clientsBodyBytes/(32<<10)-1)},
	"small_chunks":          {400, sendChunks(4, 100_000)},
	"chunks_without_end":    {150, sendChunks(32<<10, 1<<20)},
	"trailers_without_end": {400, func(c *client) {
		c.write(c.head("Transfer-Encoding: chunked\r\nTrailer: X-Field\r\n\r\n1\r\nx\r\n0\r\n"))
		c.repeat("X-Field: value\r\n")
	}},
	"extension_without_end":        {400, func(c *client) { c.write(c.head("Transfer-Encoding: chunked\r\n\r\n1;")); c.repeat("x") }},
	"many_bodies_of_60_KiB":        {1500, func(c *client) { c.write(c.head("Content-Length: 61440\r\n\r\n") + strings.Repeat("x", 61439)) }},
	"heads_of_legal_size":          {1500, func(c *client) { c.write(c.head("X-Field: " + strings.Repeat("x", clientsHeaderBytes-1024))) }},
	"short_bodies_left_open":       {400, func(c *client) { c.write(c.head("Content-Length: 2000\r\n\r\n") + strings.Repeat("x", 1000)) }},
	"heads_stop_short":             {400, func(c *client) { c.write(c.head("")) }},
	"connections_that_say_nothing": {400, func(*client) {}},
}

// crowdOfAllKinds returns a crowd whose connections do what those of the other crowds do, one after the other in order of their names.
func crowdOfAllKinds(connections int) crowd {
	names := slices.Sorted(maps.Keys(clientCrowds))
	return crowd{connections, func(c *client) { clientCrowds[names[c.number%len(names)]].send(c) }}
}

// TestClientsOfAllKinds mixes the crowds, so that heads and bodies, large and small ones, use the memory of one process at the same time.
func TestClientsOfAllKinds(t *testing.T) {
	f := startClientsFixture(t, fixtureConfig{instances: 1, engines: 4, retrySlack: hosted.RetrySlack, memoryMB: clientsMachineMB, limits: limitClients})
	c := crowdOfAllKinds(1200)
	f.meetCrowd(f.instances[0], c)
	f.checkSurvival(f.instances[0], c.connections+clientsSlack)
}

// TestClientsLeaveMemory sends what clients must not send, or what stops short, over many connections at once, which stay open. An
// instance that keeps all of it runs out of the memory of its machine and ends, and the requests of all other callers with it.
func TestClientsLeaveMemory(t *testing.T) {
	for name, c := range clientCrowds {
		t.Run(name, func(t *testing.T) {
			f := startClientsFixture(t, fixtureConfig{instances: 1, engines: 4, retrySlack: hosted.RetrySlack, memoryMB: clientsMachineMB, limits: limitClients})
			f.meetCrowd(f.instances[0], c)
			f.checkSurvival(f.instances[0], c.connections+clientsSlack)
		})
	}
}

// TestClientsLeaveMemoryThroughPeer sends many bodies of legal size at once to an instance that is cut off from all endpoints, so that
// each body is in the memory of two processes.
func TestClientsLeaveMemoryThroughPeer(t *testing.T) {
	f := startClientsFixture(t, fixtureConfig{instances: 2, engines: 4, retrySlack: hosted.RetrySlack, hasLinks: true, memoryMB: clientsMachineMB, limits: limitClients})
	first := f.instances[0]
	f.forEachEndpointLink(func(l *relayer.Link) { cutByResets(l, first) })
	f.awaitOrdinary(first)
	c := clientCrowds["bodies_whole"]
	f.meetCrowd(first, c)
	for _, i := range f.instances {
		f.checkSurvival(i, c.connections+clientsSlack)
	}
}

// Figures of the test of descriptors.
const (
	clientsDescriptors = 512 // that the process may open
	clientsIdle        = 700 // connections, more than the process may open
)

// TestClientsLeaveDescriptors opens more connections than the process may have descriptors; each has one request answered and then
// stays idle. An instance that keeps them all can neither accept ordinary callers nor reach endpoints.
func TestClientsLeaveDescriptors(t *testing.T) {
	f := startClientsFixture(t, fixtureConfig{instances: 1, engines: 4, retrySlack: hosted.RetrySlack, memoryMB: clientsMachineMB, descriptors: clientsDescriptors, limits: limitClients})
	f.meetCrowd(f.instances[0], crowd{clientsIdle, stayIdle})
	f.checkSurvival(f.instances[0], clientsDescriptors-1)
}

// TestClientsDoNotStay checks that the instance closes what its clients leave open, although none of them closes it: idle connections, and
// connections whose body stops short of its end.
func TestClientsDoNotStay(t *testing.T) {
	for name, send := range map[string]func(c *client){
		"idle":         stayIdle,
		"short_bodies": clientCrowds["short_bodies_left_open"].send,
		"short_heads":  clientCrowds["heads_stop_short"].send,
	} {
		t.Run(name, func(t *testing.T) {
			f := startClientsFixture(t, fixtureConfig{instances: 1, engines: 4, retrySlack: hosted.RetrySlack, memoryMB: clientsMachineMB, limits: func(l *hosted.Limits) {
				limitClients(l)
				l.IdleTimeout = time.Second
			}})
			first := f.instances[0]
			f.meetCrowd(first, crowd{400, send})
			f.awaitOrdinary(first) // its connection is accepted after all others
			f.await("the end of the connections", func() bool { return first.countDescriptors(t) < clientsSlack })
			f.checkSurvival(first, clientsSlack)
		})
	}
}

// stayIdle sends one request, reads its answer and sends nothing more.
func stayIdle(c *client) {
	if c.write("GET /none HTTP/1.1\r\nHost: none\r\n\r\n") {
		_ = c.SetReadDeadline(time.Now().Add(clientsWriteTime))
		_, _ = c.Read(make([]byte, 4096)) // without an answer the instance has closed the connection
	}
}

// limitClients sets the limits of the users' deployments.
func limitClients(l *hosted.Limits) {
	l.HeaderBytes, l.BodyBytes = clientsHeaderBytes, clientsBodyBytes
}

// startClientsFixture starts a fixture whose plain endpoints read whole bodies, and checks that a body and a head of nearly the largest legal
// size are served in calm.
func startClientsFixture(t *testing.T, cfg fixtureConfig) *fixture {
	f := startFixture(t, cfg)
	for n := range clientsEndpoints {
		f.addRaw(fmt.Sprintf("reader-%d", n), hosted.PlainService, answerWhole)
	}
	f.engine("ledger-1").Kill()
	f.platform.Store.Remove("servers/ledger-1")
	for _, i := range f.instances {
		f.awaitOrdinary(i)
		is := is.New(t)
		size, err := f.hold(i, clientsBodyBytes, 0)
		is.NoErr(err)
		is.Equal(size, clientsBodyBytes)
		size, err = f.hold(i, ordinaryBodyBytes, clientsHeaderBytes-1024)
		is.NoErr(err)
		is.Equal(size, ordinaryBodyBytes)
	}
	return f
}

// answerWhole reads the whole body and answers with its size.
func answerWhole(conn net.Conn, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	body := fmt.Sprint(n)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("X-Attempt-Id"), len(body), body) // the caller may have left
}

// hold sends a request with a body and one long field over a new connection. It returns the size of the body that the endpoint has read.
func (f *fixture) hold(i *instance, bodyBytes, fieldBytes int) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.callers+"/holds/7", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return 0, err
	}
	f.requests++
	setRequestHeader(r, fmt.Sprintf("hold-%d", f.requests), hosted.APIKey)
	r.Header.Set("X-Field", strings.Repeat("x", fieldBytes))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: ordinaryTimeout}).Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	size := 0
	_, err = fmt.Sscan(string(text), &size)
	return size, err
}

// awaitOrdinary waits until an ordinary request is answered.
func (f *fixture) awaitOrdinary(i *instance) {
	f.t.Helper()
	f.await("the answer to an ordinary request at "+i.name, func() bool {
		size, err := f.hold(i, ordinaryBodyBytes, 0)
		return err == nil && size == ordinaryBodyBytes
	})
}

// meetCrowd opens the connections of a crowd at once and returns when each has sent what it sends. They stay open until the test ends.
func (f *fixture) meetCrowd(i *instance, c crowd) {
	var clients sync.WaitGroup
	for n := range c.connections {
		clients.Go(func() {
			conn, err := net.Dial("tcp", i.callers)
			if err != nil {
				return // the instance takes no more connections
			}
			f.t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(clientsWriteTime))
			c.send(&client{Conn: conn, number: n})
		})
	}
	clients.Wait()
}

// checkSurvival checks that the instance lives, answers an ordinary request, and stays within the memory of its machine and a number of descriptors.
func (f *fixture) checkSurvival(i *instance, descriptors int) {
	f.t.Helper()
	select {
	case err := <-i.exit:
		i.exit <- err
		f.t.Fatalf("%s has ended: %v", i.name, err)
	default:
	}
	is := is.New(f.t)
	f.awaitOrdinary(i)
	open, peak := i.countDescriptors(f.t), i.peakMemory(f.t)
	f.t.Logf("%s: %d MB at most, %d descriptors", i.name, peak, open)
	is.True(peak < clientsMachineMB)
	is.True(open <= descriptors)
}

// countDescriptors returns the number of descriptors that the process has open.
func (i *instance) countDescriptors(t *testing.T) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}
