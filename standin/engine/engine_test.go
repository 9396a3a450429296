package engine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"amaranthmill/standin/engine"

	"github.com/matryer/is"
)

// TestLoadSurvivesNewEpoch guards against an engine that never loads its weights: a new
// epoch cancels the load in progress, so the engine must start it again under that epoch.
func TestLoadSurvivesNewEpoch(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{}, 2)
	var loads atomic.Int32
	weights := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		if loads.Add(1) == 1 {
			<-r.Context().Done() // until the engine cancels this load
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer weights.Close()
	platform := netip.MustParseAddrPort(strings.TrimPrefix(weights.URL, "http://"))
	e := engine.New(engine.Config{Name: "e1", Platform: platform}).Handler()
	for epoch := 1; epoch <= 2; epoch++ {
		body := fmt.Sprintf(`{"kind":"assign","group":"g","epoch":%d,"members":[{"endpoint":"e1"}],"base":"b","version":"v"}`, epoch)
		recorder := httptest.NewRecorder()
		e.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(body)))
		is.Equal(recorder.Code, http.StatusOK)
		select {
		case <-began:
		case <-time.After(10 * time.Second):
			t.Fatalf("no load under epoch %d", epoch)
		}
	}
}

// endMarkRecorder records when the end mark of a stream is written.
type endMarkRecorder struct {
	*httptest.ResponseRecorder
	endedAt time.Time
}

func (w *endMarkRecorder) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "[DONE]") {
		w.endedAt = time.Now()
	}
	return w.ResponseRecorder.Write(p)
}

// TestAnswerCountsFromLastToken checks that an answer is dated by its last token, not by the
// end of its stream. The caller may read slowly, and a member that ends after the last token
// has completed its part of the answer.
func TestAnswerCountsFromLastToken(t *testing.T) {
	is := is.New(t)
	weights := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer weights.Close()
	platform := netip.MustParseAddrPort(strings.TrimPrefix(weights.URL, "http://"))
	e := engine.New(engine.Config{Name: "e1", Platform: platform}).Handler()
	call := func(method, path, body string, w http.ResponseWriter) {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("Mill-Epoch", "1")
		e.ServeHTTP(w, r)
	}
	call(http.MethodPost, "/orders", `{"kind":"assign","group":"g","epoch":1,"members":[{"endpoint":"e1"}],"base":"b","version":"v"}`, httptest.NewRecorder())
	var w *endMarkRecorder
	for end := time.Now().Add(10 * time.Second); w == nil || w.Code != http.StatusOK; {
		is.True(time.Now().Before(end)) // the weights load within 10 s
		w = &endMarkRecorder{ResponseRecorder: httptest.NewRecorder()}
		call(http.MethodPost, "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"rules"}],"max_tokens":2,"stream":true}`, w)
	}
	answer := httptest.NewRecorder()
	call(http.MethodGet, "/served", "", answer)
	var served []struct {
		LastAnswer time.Time `json:"lastAnswer"`
	}
	is.NoErr(json.Unmarshal(answer.Body.Bytes(), &served))
	is.Equal(len(served), 1)
	is.True(!served[0].LastAnswer.IsZero() && served[0].LastAnswer.Before(w.endedAt))
}
