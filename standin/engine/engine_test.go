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

// TestLoadSurvivesNewEpoch changes the membership while the weights load. The load that
// was given up begins again, since nothing else would begin it.
func TestLoadSurvivesNewEpoch(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{}, 2)
	var loads atomic.Int32
	weights := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		if loads.Add(1) == 1 {
			<-r.Context().Done() // until the engine gives this load up
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer weights.Close()
	platform := netip.MustParseAddrPort(strings.TrimPrefix(weights.URL, "http://"))
	e := engine.New(engine.Config{Name: "e1", Platform: platform}).Handler()
	for epoch := 1; epoch <= 2; epoch++ {
		body := fmt.Sprintf(`{"kind":"assign","group":"g","epoch":%d,"members":[{"endpoint":"e1"}],"base":"b","version":"v"}`, epoch)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(body)))
		is.Equal(w.Code, http.StatusOK)
		select {
		case <-began:
		case <-time.After(10 * time.Second):
			t.Fatalf("no load under epoch %d", epoch)
		}
	}
}

// slowWriter takes the time at which it is given the end mark of a stream.
type slowWriter struct {
	*httptest.ResponseRecorder
	endedAt time.Time
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "[DONE]") {
		w.endedAt = time.Now()
	}
	return w.ResponseRecorder.Write(p)
}

// TestAnswerCountsFromLastToken holds that an answer counts as made when its last token is there, however long its
// caller takes to read it: a member that ends between the two has done its part.
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
	var w *slowWriter
	for end := time.Now().Add(10 * time.Second); w == nil || w.Code != http.StatusOK; {
		is.True(time.Now().Before(end)) // the weights load
		w = &slowWriter{ResponseRecorder: httptest.NewRecorder()}
		call(http.MethodPost, "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"rules"}],"max_tokens":2,"stream":true}`, w)
	}
	told := httptest.NewRecorder()
	call(http.MethodGet, "/served", "", told)
	var served []struct {
		LastAnswer time.Time `json:"lastAnswer"`
	}
	is.NoErr(json.Unmarshal(told.Body.Bytes(), &served))
	is.Equal(len(served), 1)
	is.True(!served[0].LastAnswer.IsZero() && served[0].LastAnswer.Before(w.endedAt))
}
