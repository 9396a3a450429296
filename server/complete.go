package server

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"amaranthmill/evictor"
	"amaranthmill/internal/bodyreader"
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
	arriveUntil, refusal := requestDeadline(r, c.index.longestDeadline)
	if refusal != nil {
		writeProblem(w, c.id, *refusal)
		return
	}
	body, memory, refusal := s.readBody(w, r, arriveUntil)
	if refusal != nil {
		writeProblem(w, c.id, *refusal)
		return
	}
	defer memory.Release()
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

// readBody returns the complete body with the account of its memory, which the caller releases, or the refusal of a request whose body is
// too large or incomplete, has not arrived by until, or for which no memory is left.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, until time.Time) ([]byte, *evictor.Account, *router.NotRun) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	size := s.cfg.BodySize
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	b := bodyreader.New(w, r, until)
	if size > s.cfg.BodySize {
		b.Abandon()
		return nil, nil, refusalOfBody(&http.MaxBytesError{Limit: s.cfg.BodySize})
	}
	b.SetDeadline(time.Time{})
	account := s.cfg.Memory.Open(b.End)
	body, err := b.Read(account, size, s.cfg.BodySize)
	if err := cmp.Or(account.Complete(), err); err != nil {
		account.Release()
		refusal := refusalOfBody(err)
		if refusal.Status == http.StatusBadRequest {
			b.End() // the caller has left, or what it sends is no body
		} else {
			b.Abandon()
		}
		return nil, nil, refusal
	}
	b.RemoveDeadline()
	return body, account, nil
}

// refusalOfBody returns the refusal of a request whose body could not be read.
func refusalOfBody(err error) *router.NotRun {
	refusal := newRefusal(http.StatusBadRequest, "bodyCut", "The body ended before its length.")
	var tooLarge *http.MaxBytesError
	var full *evictor.FullError
	var evicted *evictor.EvictedError
	var late *bodyreader.TimeoutError
	switch {
	case errors.As(err, &tooLarge):
		refusal = newRefusal(http.StatusRequestEntityTooLarge, "bodyTooLarge", "The body is larger than the instance takes; make it smaller.")
	case errors.As(err, &late):
		refusal = newRefusal(http.StatusRequestTimeout, "bodyTimeout", "The body had not arrived completely by the request's deadline.")
	case errors.As(err, &full):
		refusal = newRefusal(http.StatusServiceUnavailable, "memoryFull", "The instance has no memory left for the body.")
		refusal.RetryAfter = evictor.RetryAfter
	case errors.As(err, &evicted):
		refusal = newRefusal(http.StatusServiceUnavailable, "evicted", "The body had not arrived completely when its memory was needed for others.")
		refusal.RetryAfter = evictor.RetryAfter
	}
	return &refusal
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
