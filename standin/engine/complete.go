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

// Prompt joins the contents of messages in the form that Text takes.
func Prompt(contents ...string) string { return strings.Join(contents, "\n") }

// complete answers a chat completion if this is the first member of a whole group.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		notRun(w, http.StatusBadRequest, "badRequest")
		return
	}
	asked := e.report()
	if epoch, _ := strconv.ParseUint(r.Header.Get("Mill-Epoch"), 10, 64); epoch != 0 {
		e.countAsked(asked.Group, epoch)
	}
	group, status, code := e.admit(r)
	if code != "" {
		notRun(w, status, code)
		return
	}
	if !e.enter(r.Context(), group) {
		notRun(w, http.StatusTooManyRequests, "busy")
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
	rep := e.report()
	w.Header().Set("Mill-Epoch", strconv.FormatUint(rep.Epoch, 10))
	w.Header().Set("Mill-Process-Start", strconv.FormatInt(rep.ProcessStart, 10))
	g := generation{e: e, w: w, ctx: r.Context(), group: group, q: q, prompt: prompt, adapter: r.Header.Get("Mill-Adapter")}
	g.resume, _ = strconv.Atoi(r.Header.Get("Mill-Resume"))
	if g.resume > 0 {
		w.Header().Set("Mill-Resume", strconv.Itoa(g.resume))
	}
	g.id = "chatcmpl-" + r.Header.Get("Mill-Request")
	g.run()
	e.countAnswer(rep.Group, rep.Epoch, g.madeAt)
}

// admit returns the membership's context, or why the request is refused.
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
	case e.whole < len(s.Members)-1 || e.ctx.Err() != nil:
		return nil, http.StatusServiceUnavailable, "memberMissing"
	}
	return e.ctx, 0, ""
}

// enter takes a slot, or reports false if the queue is full or the wait is given up.
func (e *Engine) enter(ctx, group context.Context) bool {
	e.mu.Lock()
	full := e.waiting >= e.cfg.MaxQueue
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full {
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
	case <-group.Done():
	}
	return false
}

func notRun(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Mill-Outcome", "notRun")
	answer(w, status, refusal{code})
}

// answer writes v as JSON. A caller that has gone needs no error.
func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// generation is one answer in the making.
type generation struct {
	e       *Engine
	w       http.ResponseWriter
	ctx     context.Context
	group   context.Context
	q       completionRequest
	prompt  string
	adapter string
	resume  int
	id      string
	madeAt  time.Time // of the last token
}

// run produces the tokens and ends without an end mark if the group breaks.
func (g *generation) run() {
	if g.q.Stream {
		g.w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(g.w).Flush()
	}
	var text strings.Builder
	at := 0
	for i := range g.q.MaxTokens {
		token := Token(g.prompt, g.adapter, i)
		at += len(token)
		if at <= g.resume {
			continue
		}
		if !g.wait(i) {
			panic(http.ErrAbortHandler)
		}
		text.WriteString(token)
		if g.q.Stream {
			g.event(choice{Delta: &message{Role: "assistant", Content: token}}, nil)
		}
	}
	stop := "stop"
	n := len(strings.Fields(g.prompt))
	u := &usage{PromptTokens: n, CompletionTokens: g.q.MaxTokens, TotalTokens: n + g.q.MaxTokens}
	if g.q.Stream {
		g.event(choice{Delta: &message{}, Finish: &stop}, u)
		fmt.Fprint(g.w, "data: [DONE]\n\n")
		return
	}
	answer(g.w, http.StatusOK, g.completion("chat.completion", choice{Message: &message{Role: "assistant", Content: text.String()}, Finish: &stop}, u))
}

// wait passes the time of token i and reports whether the group and the caller are there.
func (g *generation) wait(i int) bool {
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
		case <-g.group.Done():
		}
	}
	g.madeAt = time.Now()
	return g.ctx.Err() == nil && g.group.Err() == nil
}

func (g *generation) completion(object string, c choice, u *usage) completion {
	return completion{ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.q.Model, Choices: []choice{c}, Usage: u}
}

func (g *generation) event(c choice, u *usage) {
	b, _ := json.Marshal(g.completion("chat.completion.chunk", c, u))
	fmt.Fprintf(g.w, "data: %s\n\n", b)
	_ = http.NewResponseController(g.w).Flush()
}
