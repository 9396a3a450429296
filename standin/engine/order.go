package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

type order struct {
	Fence         uint64    `json:"fence"`
	Deadline      time.Time `json:"deadline"`
	Kind          string    `json:"kind"`
	Group         string    `json:"group"`
	Epoch         uint64    `json:"epoch"`
	Members       []member  `json:"members"`
	BundleVersion uint64    `json:"bundleVersion"`
	Base          string    `json:"base"`
	Version       string    `json:"version"`
	Adapters      []string  `json:"adapters"`
}

// serveOrder applies an order to join or leave a group and answers with the new status
// without waiting for the weights, which load in the background. It refuses an order whose
// deadline has passed. If ChecksFence is set, it also refuses an order whose fencing number
// is lower than the highest one received.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{err.Error()})
		return
	}
	if !o.Deadline.IsZero() && time.Now().After(o.Deadline) {
		writeJSON(w, http.StatusGone, refusal{"the order's deadline has passed"})
		return
	}
	e.mu.Lock()
	if e.cfg.ChecksFence && o.Fence < e.fence {
		fence := e.fence
		e.mu.Unlock()
		writeJSON(w, http.StatusConflict, struct {
			Fence uint64 `json:"fence"`
		}{fence})
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.applyOrder(o)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.report())
}

type refusal struct {
	Detail string `json:"detail"`
}

// applyOrder changes the membership. The caller holds e.mu.
func (e *Engine) applyOrder(o order) {
	sameMembership := o.Kind == "assign" && o.Group == e.state.Group && o.Epoch == e.state.Epoch
	if sameMembership {
		e.state.BundleVersion, e.state.Adapters = o.BundleVersion, o.Adapters
		return
	}
	e.cancel()
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.connected = 0
	if o.Kind == "release" {
		e.state.Group, e.state.Epoch, e.state.Members = "", 0, nil
		return
	}
	reload := !e.state.Loaded || e.state.Base != o.Base || e.state.Version != o.Version
	if reload {
		e.state.Loaded = false
	}
	e.state.Group, e.state.Epoch, e.state.Members = o.Group, o.Epoch, o.Members
	e.state.BundleVersion, e.state.Base, e.state.Version = o.BundleVersion, o.Base, o.Version
	e.state.Adapters = o.Adapters
	ctx := e.ctx
	if reload {
		go e.loadWeights(ctx, o)
	}
	if len(o.Members) > 0 && o.Members[0].Endpoint == e.cfg.Name {
		for _, m := range o.Members[1:] {
			go e.keepConnected(ctx, m, o)
		}
	}
}

// loadWeights requests the weights of o and retries every 200 ms until a request succeeds or
// the membership ends. The weights count as loaded only if the membership is still current.
func (e *Engine) loadWeights(ctx context.Context, o order) {
	for ctx.Err() == nil {
		url := fmt.Sprintf("http://%s/weights/%s/%s", e.cfg.Platform, o.Base, o.Version)
		if e.fetch(ctx, url) {
			e.mu.Lock()
			e.state.Loaded = e.state.Loaded || e.ctx == ctx
			e.mu.Unlock()
			return
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// fetch sends a GET request and reports whether the response is 200 OK.
func (e *Engine) fetch(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := e.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// pause waits for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
