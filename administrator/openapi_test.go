package administrator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDocumentedCalls checks that the API serves every call that the OpenAPI file documents,
// and rejects each call without a token.
func TestDocumentedCalls(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../docs/openapi.json")
	is.NoErr(err)
	var doc struct {
		Paths map[string]map[string]json.RawMessage `json:"paths"`
	}
	is.NoErr(json.Unmarshal(text, &doc))
	h := Handler(Config{})
	calls := 0
	for path, operations := range doc.Paths {
		target := "/admin/v1" + strings.NewReplacer("{version}", "1", "{page}", "1").Replace(path)
		for method := range operations {
			calls++
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(strings.ToUpper(method), target, nil))
			is.Equal(w.Code, http.StatusUnauthorized) // the call exists and requires a token
			is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
		}
	}
	is.Equal(calls, 10)
}
