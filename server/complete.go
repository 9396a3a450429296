package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/problemwriter"
	"amaranthmill/router"
)

// defaultDeadline is the deadline of a request whose bundle entry gives none.
const defaultDeadline = time.Minute

// completionRequest has the fields of a chat completion that routing needs.
type completionRequest struct {
	Model    identifier.Service `json:"model"`
	Messages []json.RawMessage  `json:"messages"`
	Stream   bool               `json:"stream"`

	MaxTokens           json.Number `json:"max_tokens"`
	MaxCompletionTokens json.Number `json:"max_completion_tokens"`
}

// mostTokens bounds the length of an answer that a caller may ask for.
const mostTokens = 1 << 24

// badTokens returns the field whose number of tokens makes no sense, or "".
func (q *completionRequest) badTokens() string {
	for name, n := range map[string]json.Number{"max_tokens": q.MaxTokens, "max_completion_tokens": q.MaxCompletionTokens} {
		if n == "" {
			continue
		}
		if v, err := n.Int64(); err != nil || v < 0 || v > mostTokens {
			return name
		}
	}
	return ""
}

// complete takes a chat completion.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, c caller) {
	body, bad := s.readBody(w, r)
	if bad != nil {
		writeProblem(w, c.id, *bad)
		return
	}
	var q completionRequest
	if err := json.Unmarshal(body, &q); err != nil {
		writeProblem(w, c.id, refusal(http.StatusBadRequest, "badJson", "The body is not a chat completion in JSON: "+err.Error()))
		return
	}
	if len(q.Messages) == 0 {
		writeProblem(w, c.id, refusal(http.StatusBadRequest, "noMessages", "The field messages is missing or empty; list at least one message."))
		return
	}
	if field := q.badTokens(); field != "" {
		writeProblem(w, c.id, refusal(http.StatusBadRequest, "badTokens", fmt.Sprintf("The field %s is not a whole number from 0 to %d.", field, mostTokens)))
		return
	}
	model, ok := c.index.models[q.Model]
	if !ok || !c.mayUse(q.Model) {
		writeProblem(w, c.id, refusal(http.StatusNotFound, "unknownModel", "The field model names no model of this client account; GET /v1/models lists them."))
		return
	}
	deadline, bad := deadlineOf(r, model.Deadline.Std())
	if bad != nil {
		writeProblem(w, c.id, *bad)
		return
	}
	req := c.request(r, q.Model, deadline, body)
	req.Kind, req.Pool, req.Adapter, req.Stream = router.KindModel, model.Pool, model.Adapter, q.Stream
	req.Path = "/v1/chat/completions"
	s.serve(w, r, req)
}

// serve carries out q, logs its outcome and ends the answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, q router.Request) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	out := newWriter(w, q.ID, q.Stream)
	outcome := s.cfg.Dispatcher.Serve(ctx, q, out)
	s.log(q, outcome, time.Since(start))
	out.end(outcome)
}

func (s *Server) log(q router.Request, o router.Outcome, took time.Duration) {
	e := s.cfg.Logger.Info().Str("request", string(q.ID)).Str("account", string(q.Account)).Str("service", string(q.Service)).Dur("took", took)
	switch o := o.(type) {
	case router.Answered:
		e.Str("outcome", "answered")
	case router.NotRun:
		e.Str("outcome", problemwriter.OutcomeNotRun).Str("reason", o.Reason)
	case router.Unknown:
		e.Str("outcome", problemwriter.OutcomeUnknown).Str("reason", o.Reason)
	}
	e.Msg("request ended")
}

// readBody reads the whole body, or returns why it was refused.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *router.NotRun) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.BodySize))
	if err == nil {
		return body, nil
	}
	bad := refusal(http.StatusBadRequest, "bodyCut", "The body ended before its length.")
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		bad = refusal(http.StatusRequestEntityTooLarge, "bodyTooLarge", "The body is larger than the instance takes; make it smaller.")
	}
	return nil, &bad
}

// deadlineOf returns the time by which r is to be answered: its Mill-Timeout header, or
// the given default.
func deadlineOf(r *http.Request, fallback time.Duration) (time.Time, *router.NotRun) {
	if fallback <= 0 {
		fallback = defaultDeadline
	}
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return time.Now().Add(fallback), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		bad := refusal(http.StatusBadRequest, "badTimeout", "The header Mill-Timeout is "+text+"; write a duration above zero, such as 1.5s.")
		return time.Time{}, &bad
	}
	return time.Now().Add(d), nil
}
