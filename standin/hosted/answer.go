package hosted

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serve runs a caller's request, or refuses it if it is addressed to another engine or the
// engine is not an open head.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	e.sayLeaving(w)
	e.nameLimit(w, id)
	e.sayCold(w)
	if e.turnAway(w, id) {
		return
	}
	if want := r.Header.Get("X-Target-Instance"); want != e.ID || e.Domain != "" && !e.IsHead() {
		e.awaitEndOfSilence()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs[id] = append(e.runs[id], time.Now())
	e.noteCold(r)
	group, members, unframed := e.group, e.members, e.unframed
	e.mu.Unlock()
	if e.Domain != "" {
		e.checkGroupReady(group, members)
	}
	if e.platform.crashes(e, r) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if e.platform.crashesOnPart(e, r) {
		e.crashWhileWriting(w)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Seal", e.ID)
	if unframed {
		e.answerUnframed(w, r, group)
		return
	}
	e.answer(w, r, group)
}

// answer sends the answer to a request that the engine runs.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, group membership) {
	if e.Domain == "" {
		e.answerPlain(w, r)
		return
	}
	e.stream(w, r, group)
}

// answerPlain sends the answer to a plain request.
func (e *Engine) answerPlain(w http.ResponseWriter, r *http.Request) {
	time.Sleep(workTime)
	if e.losesAnswer() {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if err := e.awaitHeader(w); err != nil {
		return
	}
	_ = e.writePart(w, fmt.Sprintf("%s %s for %s", r.Method, r.URL.Path, r.Header.Get("X-Tenant"))) // the caller may have left
}

// stream sends the events after the last one that the caller received. It stalls until the
// caller disconnects if a member of the group is killed.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, group membership) {
	last := -1
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(strings.TrimSpace(text))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if err := e.awaitHeader(w); err != nil {
		return
	}
	for id := last + 1; id < e.Events; id++ {
		for _, m := range e.platform.groupMembers(group.Name, group.Epoch) {
			if m.IsDead() {
				<-r.Context().Done()
				return
			}
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, r.Header.Get("X-Attempt-Id"))
		if e.breaksOffIn(id) {
			_ = send(w, event[:len(event)/2]) // the stream ends in any case
			panic(http.ErrAbortHandler)
		}
		if err := e.writePart(w, event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(e.eventInterval())
	}
}

// BreakStreams makes the engine break off each stream inside the event with an ID, which is
// greater than zero. Zero turns this off.
func (e *Engine) BreakStreams(event int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brokenEvent = event
}

// breaksOffIn reports whether streams break off inside the event with an ID.
func (e *Engine) breaksOffIn(event int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.brokenEvent > 0 && e.brokenEvent == event
}

// eventInterval returns the time between two events of a stream.
func (e *Engine) eventInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return normalEventInterval * time.Duration(max(e.slowdown, 1))
}
