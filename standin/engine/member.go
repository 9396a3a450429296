package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// keepConnected opens the first member's connection to member m and retries every 100 ms
// until it succeeds or the membership ends. If an open connection breaks, the membership is
// canceled and never resumes, because a member that returns has lost its part of the
// model's state.
func (e *Engine) keepConnected(ctx context.Context, m member, o order) {
	for ctx.Err() == nil {
		if e.holdConnection(ctx, m, o) {
			e.mu.Lock()
			if e.ctx == ctx {
				e.cancel()
			}
			e.mu.Unlock()
			e.cfg.Logger.Warn().Str("member", m.Endpoint).Str("group", o.Group).Uint64("epoch", o.Epoch).Msg("connection to member ended; requests under this epoch are refused")
			return
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// holdConnection opens a connection to m and waits until it breaks. It reports whether the
// connection was ever open.
func (e *Engine) holdConnection(ctx context.Context, m member, o order) bool {
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
		e.connected++
	}
	e.mu.Unlock()
	_, _ = io.Copy(io.Discard, res.Body)
	return true
}

// serveMember accepts the connection of the first member if the group and the epoch match and
// the weights are loaded, and keeps it open until this membership ends.
func (e *Engine) serveMember(w http.ResponseWriter, r *http.Request) {
	epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	e.mu.Lock()
	matches := e.state.Group == r.URL.Query().Get("group") && e.state.Epoch == epoch && e.state.Loaded
	ctx := e.ctx
	e.mu.Unlock()
	if !matches {
		writeJSON(w, http.StatusConflict, refusal{"not a member"})
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-ctx.Done():
	case <-r.Context().Done():
	}
}
