package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// problemDocument is the problem document of a refusal.
type problemDocument struct {
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason"`
	RetryAfter int    `json:"retryAfter"`
}

// confirmation is the answer to one booking call.
type confirmation struct {
	problemDocument
	status int
	err    error
}

// label returns the text under which answers like this one are counted.
func (c confirmation) label() string {
	switch {
	case c.err != nil:
		return "no answer"
	case c.status == http.StatusOK:
		return "200"
	default:
		return fmt.Sprintf("%d %s %s", c.status, c.Outcome, c.Reason)
	}
}

// confirm sends the confirmation of a booking hold with an Idempotency-Key to an entry instance.
func (t *trial) confirm(e *entry, key, query string) confirmation {
	url := fmt.Sprintf("http://%s/services/pad-ledger/holds/12/confirm%s", e.callers, query)
	res, err := t.post(url, `{"pad": 12}`, key)
	if err != nil {
		return confirmation{err: err}
	}
	defer res.Body.Close()
	c := confirmation{status: res.StatusCode}
	if res.StatusCode != http.StatusOK {
		c.err = json.NewDecoder(res.Body).Decode(&c.problemDocument)
	}
	return c
}

// maxAttempts is the maximum number of attempts of one call.
const maxAttempts = 8

// confirmWithRetries confirms a booking hold, and retries with the same key if the answer has a
// retry time.
func (t *trial) confirmWithRetries(e *entry, key, query string) confirmation {
	var c confirmation
	for range maxAttempts {
		c = t.confirm(e, key, query)
		if c.err != nil || c.status == http.StatusOK || c.RetryAfter == 0 {
			return c
		}
		time.Sleep(time.Duration(c.RetryAfter) * time.Second)
	}
	return c
}

// sendCompletion sends one model request without streaming. It returns the status, or 0 if there is no
// complete answer, and the problem document of a refusal.
func (t *trial) sendCompletion(e *entry, prompt string) (int, problemDocument) {
	body := fmt.Sprintf(`{"model":"mill-guides","messages":[{"role":"user","content":%q}]}`, prompt)
	var p problemDocument
	res, err := t.post(fmt.Sprintf("http://%s/v1/chat/completions", e.callers), body, "")
	if err != nil {
		return 0, p
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		_ = json.NewDecoder(res.Body).Decode(&p) // without a problem document in the answer, p stays empty
		return res.StatusCode, p
	}
	_, err = io.Copy(io.Discard, res.Body)
	if err != nil {
		return 0, p
	}
	return res.StatusCode, p
}

func (t *trial) post(url, body, key string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+t.fleet.keys["observatory"].Key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(req)
}
