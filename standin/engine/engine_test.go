package engine_test

import (
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
