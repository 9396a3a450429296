package storeclient_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthmill/storeclient"
)

// fault is the fault injected into one call of the platform's store.
type fault string

const (
	faultLose     fault = "lose"     // the answer is lost after the call took effect
	faultReplaced fault = "replaced" // like faultLose, and another writer then replaces the value
	faultDrop     fault = "drop"     // the call is lost
	faultLate     fault = "late"     // the call takes effect after the next call
	faultDial     fault = "dial"     // no connection is established
	faultDown     fault = "down"     // 503
	faultSlow     fault = "slow"     // the call takes effect, and the answer arrives after 3 s
	faultStale    fault = "stale"    // a read returns the value before the last write
	faultNoEra    fault = "noEra"    // the answer names no era
	faultBadEra   fault = "badEra"   // the answer's era can't be read
	faultOldEra   fault = "oldEra"   // the answer names the era before the current one
	faultRestore  fault = "restore"  // the call is performed in the era after the one in which it was sent
)

type stored struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// platform is an http.RoundTripper that answers like the platform's store, in memory. The next
// element of faults is injected into each call.
type platform struct {
	faults      []fault
	entries     map[string]stored
	previous    map[string]stored // the value that the last write of each key replaced
	revision    uint64
	era         uint64 // zero for a store that names none
	calls       []string
	delayedCall func()
}

// eraDialect is the plain dialect with a header that names the era.
type eraDialect struct{ storeclient.PlainDialect }

func (eraDialect) Era(h http.Header) (storeclient.Era, string) {
	text := h.Get("Era")
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil && text != "" {
		return 0, "can't be read"
	}
	return storeclient.Era(era), ""
}

// restore brings the store back, in an era, from a copy that has no entries after a revision.
func (p *platform) restore(era string, revision uint64) {
	p.era, _ = strconv.ParseUint(era, 10, 64)
	for path, e := range p.entries {
		if e.Revision > revision {
			delete(p.entries, path)
		}
	}
	p.revision = revision
}

// header returns the header of an answer.
func (p *platform) header(f fault) http.Header {
	switch {
	case p.era == 0 || f == faultNoEra:
		return http.Header{}
	case f == faultBadEra:
		return http.Header{"Era": {"x"}}
	case f == faultOldEra:
		return http.Header{"Era": {fmt.Sprint(p.era - 1)}}
	}
	return http.Header{"Era": {fmt.Sprint(p.era)}}
}

func (p *platform) RoundTrip(r *http.Request) (*http.Response, error) {
	p.calls = append(p.calls, r.Method+r.URL.Query().Get("wait"))
	f := fault("")
	if len(p.faults) > 0 {
		f, p.faults = p.faults[0], p.faults[1:]
	}
	delayed := p.delayedCall
	p.delayedCall = nil
	if delayed != nil {
		defer delayed()
	}
	body := map[string]string{}
	if r.Body != nil {
		_ = json.NewDecoder(r.Body).Decode(&body)
	}
	switch f {
	case faultDrop:
		return nil, errors.New("connection reset")
	case faultDial:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case faultDown:
		return response(http.StatusServiceUnavailable, nil), nil
	case faultLate:
		p.delayedCall = func() { p.apply(r, body) }
		return nil, errors.New("timeout")
	case faultStale:
		return response(http.StatusOK, p.previous[r.URL.Path]), nil
	}
	if f == faultRestore {
		p.era++
	}
	status, answer := p.apply(r, body)
	switch f {
	case faultLose, faultReplaced:
		if f == faultReplaced {
			p.write(r.URL.Path, []byte("theirs"))
		}
		return nil, errors.New("connection reset")
	case faultSlow:
		select {
		case <-time.After(3 * time.Second):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	resp := response(status, answer)
	resp.Header = p.header(f)
	return resp, nil
}

func (p *platform) apply(r *http.Request, body map[string]string) (int, any) {
	if r.URL.Path == "/watch" || r.URL.Path == "/kv" {
		return http.StatusOK, map[string]uint64{"revision": p.revision}
	}
	if strings.HasPrefix(r.URL.Path, "/leases") {
		return http.StatusOK, map[string]string{"lease": "lease-1"}
	}
	e, ok := p.entries[r.URL.Path]
	condition, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	switch {
	case !ok && (r.Method != http.MethodPut || condition != 0):
		return http.StatusNotFound, struct{}{}
	case r.Method == http.MethodGet:
		return http.StatusOK, e
	case condition != e.Revision || body["lease"] == "lapsed":
		return http.StatusConflict, e
	case r.Method == http.MethodDelete:
		delete(p.entries, r.URL.Path)
		return http.StatusOK, struct{}{}
	}
	var value []byte
	text, _ := json.Marshal(body["value"])
	_ = json.Unmarshal(text, &value)
	return http.StatusOK, p.write(r.URL.Path, value)
}

func (p *platform) write(path string, value []byte) stored {
	p.revision++
	p.previous[path] = p.entries[path]
	p.entries[path] = stored{Key: strings.TrimPrefix(path, "/kv/"), Value: value, Revision: p.revision}
	return p.entries[path]
}

func response(status int, v any) *http.Response {
	text, _ := json.Marshal(v)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(text))}
}
