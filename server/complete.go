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

// defaultDeadline is the time limit of a request if its bundle entry sets none.
const defaultDeadline = time.Minute

// completionRequest holds the fields of a chat completion that routing uses.
type completionRequest struct {
	Model    identifier.Service `json:"model"`
	Messages []json.RawMessage  `json:"messages"`
	Stream   bool               `json:"stream"`

	MaxTokens           json.Number `json:"max_tokens"`
	MaxCompletionTokens json.Number `json:"max_completion_tokens"`
}

// maxAnswerTokens is the largest answer length that a caller may request.
const maxAnswerTokens = 1 << 24

// invalidTokensField returns the name of a field whose number of tokens is out of range or not
// an integer, or "".
func (q *completionRequest) invalidTokensField() string {
	for name, n := range map[string]json.Number{"max_tokens": q.MaxTokens, "max_completion_tokens": q.MaxCompletionTokens} {
		if n == "" {
			continue
		}
		if v, err := n.Int64(); err != nil || v < 0 || v > maxAnswerTokens {
			return name
		}
	}
	return ""
}

// serveCompletion handles a chat completion.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, c caller) {
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		writeProblem(w, c.id, *refusal)
		return
	}
	var q completionRequest
	if err := json.Unmarshal(body, &q); err != nil {
		writeProblem(w, c.id, newRefusal(http.StatusBadRequest, "badJson", "The body is not a chat completion in JSON: "+err.Error()))
		return
	}
	if len(q.Messages) == 0 {
		writeProblem(w, c.id, newRefusal(http.StatusBadRequest, "noMessages", "The field messages is missing or empty; list at least one message."))
		return
	}
	if field := q.invalidTokensField(); field != "" {
		writeProblem(w, c.id, newRefusal(http.StatusBadRequest, "badTokens", fmt.Sprintf("The field %s is not a whole number from 0 to %d.", field, maxAnswerTokens)))
		return
	}
	model, ok := c.index.models[q.Model]
	if !ok || !c.mayUse(q.Model) {
		writeProblem(w, c.id, newRefusal(http.StatusNotFound, "unknownModel", "The field model names no model of this client account; GET /v1/models lists them."))
		return
	}
	deadline, refusal := requestDeadline(r, model.Deadline.Std())
	if refusal != nil {
		writeProblem(w, c.id, *refusal)
		return
	}
	req := c.newRequest(r, q.Model, deadline, body)
	req.Kind, req.Pool, req.Adapter, req.Stream = router.KindModel, model.Pool, model.Adapter, q.Stream
	req.Path = "/v1/chat/completions"
	s.serve(w, r, req)
}

// serve passes q to the dispatcher, logs the outcome and ends the answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, q router.Request) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	out := newWriter(w, q.ID, q.Stream)
	outcome := s.cfg.Dispatcher.Serve(ctx, q, out)
	s.logOutcome(q, outcome, time.Since(start))
	out.end(outcome)
}

func (s *Server) logOutcome(q router.Request, o router.Outcome, took time.Duration) {
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

// readBody returns the complete body, or the refusal of a request whose body is too large or
// incomplete.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *router.NotRun) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.BodySize))
	if err == nil {
		return body, nil
	}
	refusal := newRefusal(http.StatusBadRequest, "bodyCut", "The body ended before its length.")
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		refusal = newRefusal(http.StatusRequestEntityTooLarge, "bodyTooLarge", "The body is larger than the instance takes; make it smaller.")
	}
	return nil, &refusal
}

// requestDeadline returns the time by which r must be answered. The time limit is the Mill-Timeout
// header or, if the header is missing, fallback. A fallback that is not positive selects
// defaultDeadline.
func requestDeadline(r *http.Request, fallback time.Duration) (time.Time, *router.NotRun) {
	if fallback <= 0 {
		fallback = defaultDeadline
	}
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return time.Now().Add(fallback), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		refusal := newRefusal(http.StatusBadRequest, "badTimeout", "The header Mill-Timeout is "+text+"; write a duration above zero, such as 1.5s.")
		return time.Time{}, &refusal
	}
	return time.Now().Add(d), nil
}
