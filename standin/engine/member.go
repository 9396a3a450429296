package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// connect keeps the first member's connection to another member until the membership
// ends. Once the connection has stood and breaks, the membership is over for good: a
// member that comes back has lost its part of the model's state.
func (e *Engine) connect(ctx context.Context, m member, o order) {
	for ctx.Err() == nil {
		if e.hold(ctx, m, o) {
			e.mu.Lock()
			if e.ctx == ctx {
				e.cancel()
			}
			e.mu.Unlock()
			e.cfg.Logger.Warn().Str("member", m.Endpoint).Str("group", o.Group).Uint64("epoch", o.Epoch).Msg("member lost")
			return
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// hold opens the connection and waits until it breaks. It reports whether it ever stood.
func (e *Engine) hold(ctx context.Context, m member, o order) bool {
	url := fmt.Sprintf("http://%s/member?group=%s&epoch=%d", m.Address, o.Group, o.Epoch)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := e.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return false
	}
	e.mu.Lock()
	if e.ctx == ctx {
		e.whole++
	}
	e.mu.Unlock()
	_, _ = io.Copy(io.Discard, res.Body)
	return true
}

// serveMember holds the connection of the first member while the membership is the same.
func (e *Engine) serveMember(w http.ResponseWriter, r *http.Request) {
	epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	e.mu.Lock()
	match := e.state.Group == r.URL.Query().Get("group") && e.state.Epoch == epoch && e.state.Loaded
	ctx := e.ctx
	e.mu.Unlock()
	if !match {
		answer(w, http.StatusConflict, refusal{"not a member"})
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-ctx.Done():
	case <-r.Context().Done():
	}
}
