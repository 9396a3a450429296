package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// Prompt joins the contents of the messages of a request into the prompt that Text expects.
func Prompt(contents ...string) string { return strings.Join(contents, "\n") }

// serveCompletion answers a chat completion if this engine is the first member of a complete
// group, one whose other members are all connected.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		writeNotRun(w, http.StatusBadRequest, "badRequest")
		return
	}
	atArrival := e.report()
	if epoch, _ := strconv.ParseUint(r.Header.Get("Mill-Epoch"), 10, 64); epoch != 0 {
		e.countRequest(atArrival.Group, epoch)
	}
	membership, status, code := e.admit(r)
	if code != "" {
		writeNotRun(w, status, code)
		return
	}
	if !e.acquireSlot(r.Context(), membership) {
		writeNotRun(w, http.StatusTooManyRequests, "busy")
		return
	}
	defer func() { <-e.slots }()
	contents := make([]string, len(q.Messages))
	for i, m := range q.Messages {
		contents[i] = m.Content
	}
	prompt := Prompt(contents...)
	if e.cfg.CrashOnPoison && strings.Contains(prompt, "poison") {
		e.cfg.Crash()
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = 16
	}
	current := e.report()
	w.Header().Set("Mill-Epoch", strconv.FormatUint(current.Epoch, 10))
	w.Header().Set("Mill-Process-Start", strconv.FormatInt(current.ProcessStart, 10))
	g := generation{e: e, w: w, ctx: r.Context(), membership: membership, request: q, prompt: prompt, adapter: r.Header.Get("Mill-Adapter")}
	g.resume, _ = strconv.Atoi(r.Header.Get("Mill-Resume"))
	if g.resume > 0 {
		w.Header().Set("Mill-Resume", strconv.Itoa(g.resume))
	}
	g.id = "chatcmpl-" + r.Header.Get("Mill-Request")
	g.run()
	e.countAnswer(current.Group, current.Epoch, g.lastTokenAt)
}

// admit returns the context of the membership that serves r, or the status and code with
// which r is refused.
func (e *Engine) admit(r *http.Request) (context.Context, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	switch {
	case r.Header.Get("Mill-Epoch") != strconv.FormatUint(s.Epoch, 10) || s.Epoch == 0:
		return nil, http.StatusConflict, "staleEpoch"
	case s.Members[0].Endpoint != e.cfg.Name:
		return nil, http.StatusConflict, "notFirstMember"
	case !s.Loaded:
		return nil, http.StatusServiceUnavailable, "loading"
	case e.connected < len(s.Members)-1 || e.ctx.Err() != nil:
		return nil, http.StatusServiceUnavailable, "memberMissing"
	}
	return e.ctx, 0, ""
}

// acquireSlot waits for a free slot and takes it. It returns false if the queue is full, or if
// the caller leaves or the membership ends during the wait.
func (e *Engine) acquireSlot(ctx, membership context.Context) bool {
	e.mu.Lock()
	queueFull := e.waiting >= e.cfg.MaxQueue
	if !queueFull {
		e.waiting++
	}
	e.mu.Unlock()
	if queueFull {
		return false
	}
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-membership.Done():
	}
	return false
}

// writeNotRun refuses a request and states in Mill-Outcome that it was not executed.
func writeNotRun(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Mill-Outcome", "notRun")
	writeJSON(w, status, refusal{code})
}

// writeJSON writes v as JSON. A write error is ignored because it means that the caller has
// disconnected.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// generation produces the answer to one request.
type generation struct {
	e           *Engine
	w           http.ResponseWriter
	ctx         context.Context
	membership  context.Context // canceled when the membership ends or loses a member
	request     completionRequest
	prompt      string
	adapter     string
	resume      int // number of bytes of the text that the caller already has
	id          string
	lastTokenAt time.Time // when the latest token was produced
}

// run produces the answer. It skips the tokens within the first resume bytes of the text. If
// the caller leaves or the membership ends, it aborts the response without an end mark.
func (g *generation) run() {
	if g.request.Stream {
		g.w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(g.w).Flush()
	}
	var text strings.Builder
	textLength := 0
	for i := range g.request.MaxTokens {
		token := Token(g.prompt, g.adapter, i)
		textLength += len(token)
		if textLength <= g.resume {
			continue
		}
		if !g.waitForToken(i) {
			panic(http.ErrAbortHandler)
		}
		text.WriteString(token)
		if g.request.Stream {
			g.sendEvent(choice{Delta: &message{Role: "assistant", Content: token}}, nil)
		}
	}
	stop := "stop"
	n := len(strings.Fields(g.prompt))
	u := &usage{PromptTokens: n, CompletionTokens: g.request.MaxTokens, TotalTokens: n + g.request.MaxTokens}
	if g.request.Stream {
		g.sendEvent(choice{Delta: &message{}, Finish: &stop}, u)
		fmt.Fprint(g.w, "data: [DONE]\n\n")
		return
	}
	writeJSON(g.w, http.StatusOK, g.newCompletion("chat.completion", choice{Message: &message{Role: "assistant", Content: text.String()}, Finish: &stop}, u))
}

// waitForToken waits for the time that token i takes. It reports whether the caller is still
// connected and the membership still holds.
func (g *generation) waitForToken(i int) bool {
	d := g.e.cfg.TokenInterval
	if i == 0 {
		d = g.e.cfg.FirstTokenDelay
	}
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-g.ctx.Done():
		case <-g.membership.Done():
		}
	}
	g.lastTokenAt = time.Now()
	return g.ctx.Err() == nil && g.membership.Err() == nil
}

func (g *generation) newCompletion(object string, c choice, u *usage) completion {
	return completion{ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.request.Model, Choices: []choice{c}, Usage: u}
}

func (g *generation) sendEvent(c choice, u *usage) {
	b, _ := json.Marshal(g.newCompletion("chat.completion.chunk", c, u))
	fmt.Fprintf(g.w, "data: %s\n\n", b)
	_ = http.NewResponseController(g.w).Flush()
}
