package hosted

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// crashDelay is the time from the start of a run until the run crashes its engine.
const crashDelay = 20 * time.Millisecond

// Bounds of the operators' rules on requests, and on requests with one part of their prompts,
// that crash the engines that run them.
const (
	CrashesBeforeBound     = 3               // engines that the request crashes before the bound applies
	PartCrashesBeforeBound = 5               // engines that requests with the part crash before the bound applies
	CrashBoundDelay        = 3 * time.Second // from that crash until the bound applies
	MaxLateCrashRuns       = 3               // runs after that
)

// CrashRun is a run of a request that crashes the engine that runs it.
type CrashRun struct {
	Engine  string // ID of the engine
	Request string // ID of the caller's attempt
	At      time.Time
}

// CrashOn makes each request whose body contains marker crash the engine that begins to run
// it. The engine is killed and, after restart, replaced by an engine with a new ID. If onCrash
// is not nil, it is called instead of the replacement and must not block.
func (p *Platform) CrashOn(marker string, restart time.Duration, onCrash func(*Engine)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashMarker = marker
	p.setOnCrash(restart, onCrash)
}

// CrashOnPart makes each request whose prompt has a part with the ID id, other than as its last
// part, crash the engine that begins to answer it. The engine has then written the header of the
// answer and, in every second run, an event. It is killed and replaced as by CrashOn. An empty
// id turns this off.
func (p *Platform) CrashOnPart(id string, restart time.Duration, onCrash func(*Engine)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashPart = id
	p.setOnCrash(restart, onCrash)
}

// setOnCrash sets what follows the crash of an engine. If onCrash is nil, another engine
// replaces it after restart. The caller holds the lock.
func (p *Platform) setOnCrash(restart time.Duration, onCrash func(*Engine)) {
	if onCrash == nil {
		onCrash = func(e *Engine) {
			time.AfterFunc(restart, func() { _, _ = p.AddEngine(e.ID+"r", e.Zone, e.Domain, e.Events) }) // without the engine the test fails
		}
	}
	p.onCrash = onCrash
}

// CrashRuns returns the runs of requests that crash their engine, in order of time.
func (p *Platform) CrashRuns() []CrashRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.crashRuns)
}

// crashes reports whether a request crashes the engine e, and records its run.
func (p *Platform) crashes(e *Engine, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || p.crashMarker == "" || !strings.Contains(string(body), p.crashMarker) {
		return false
	}
	p.crashRuns = append(p.crashRuns, CrashRun{Engine: e.ID, Request: r.Header.Get("X-Attempt-Id"), At: time.Now()})
	return true
}

// crashesOnPart reports whether a part of a request's prompt crashes the engine e, and records
// its run.
func (p *Platform) crashesOnPart(e *Engine, r *http.Request) bool {
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	p.mu.Lock()
	defer p.mu.Unlock()
	isCrashPart := func(text string) bool {
		id, _, _ := strings.Cut(text, ":")
		return p.crashPart != "" && id == p.crashPart
	}
	if !slices.ContainsFunc(parts[:len(parts)-1], isCrashPart) {
		return false
	}
	p.crashRuns = append(p.crashRuns, CrashRun{Engine: e.ID, Request: r.Header.Get("X-Attempt-Id"), At: time.Now()})
	return true
}

// crashWhileWriting begins an answer, in every second call with an event, and crashes the engine.
func (e *Engine) crashWhileWriting(w http.ResponseWriter) {
	w.Header().Set("X-Server-Seal", e.ID)
	if e.Domain != "" {
		w.Header().Set("Content-Type", "text/event-stream")
		if len(e.platform.CrashRuns())%2 == 0 {
			_, _ = fmt.Fprintf(w, "id: 0\ndata: %s\n\n", w.Header().Get("X-Attempt-Id"))
		}
	}
	_ = http.NewResponseController(w).Flush() // the connection may be closed already
	e.crash()
}

// crash kills the engine after crashDelay. The connections of its requests break.
func (e *Engine) crash() {
	time.Sleep(crashDelay)
	e.mu.Lock()
	wasDead := e.dead
	e.dead = true
	e.mu.Unlock()
	if wasDead {
		return
	}
	e.Kill()
	e.platform.mu.Lock()
	onCrash := e.platform.onCrash
	e.platform.mu.Unlock()
	onCrash(e)
}

// CountLateCrashRuns returns the number of runs to which the bound applies, of those that
// counts selects. The bound applies from CrashBoundDelay after the given number of engines have
// crashed. The runs are in order of time.
func CountLateCrashRuns(runs []CrashRun, crashes int, counts func(CrashRun) bool) int {
	engines := map[string]bool{}
	var bound time.Time
	late := 0
	for _, r := range runs {
		engines[r.Engine] = true
		if bound.IsZero() && len(engines) == crashes {
			bound = r.At.Add(CrashBoundDelay)
		}
		if !bound.IsZero() && r.At.After(bound) && counts(r) {
			late++
		}
	}
	return late
}
