package hosted_test

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

// rawEndpoint is an endpoint whose answers a test writes to the connection.
type rawEndpoint struct {
	id     string
	answer func(conn net.Conn, r *http.Request) // the connection is closed when it returns

	mu   sync.Mutex
	runs map[string]int // by request ID
}

// addRaw starts an endpoint of a service and lists it.
func (f *fixture) addRaw(id, service string, answer func(conn net.Conn, r *http.Request)) *rawEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	e := &rawEndpoint{id: id, answer: answer, runs: map[string]int{}}
	go e.serve(l)
	address := l.Addr().String()
	if f.cfg.hasLinks {
		if address, err = f.addLink(id, address); err != nil {
			f.t.Fatal(err)
		}
	}
	f.platform.Store.Put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": "here", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return e
}

func (e *rawEndpoint) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			e.mu.Lock()
			e.runs[r.Header.Get("X-Attempt-Id")]++
			e.mu.Unlock()
			e.answer(conn, r)
		}()
	}
}

// countRuns returns how often the endpoint got the request with an ID.
func (e *rawEndpoint) countRuns(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
