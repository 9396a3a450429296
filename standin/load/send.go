package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"amaranthmill/standin/engine"
)

// outcome is the result of one request.
type outcome struct {
	kind          string // answered, notRun, unknown, cut or wrong
	reason        string
	retryAfter    time.Duration
	firstByte     time.Duration   // from the start of the request to the first event
	betweenTokens []time.Duration // between each two successive events
}

type problem struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *problem `json:"error"`
}

// send sends request i to target and reads the answer.
func (r *runner) send(target netip.AddrPort, i int) outcome {
	prompt := fmt.Sprintf("%s request %d", r.cfg.Prompt, i)
	body, _ := json.Marshal(map[string]any{
		"model": r.cfg.Model, "stream": true, "max_tokens": r.cfg.AnswerTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", target), bytes.NewReader(body))
	if err != nil {
		return outcome{kind: "cut", reason: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+r.cfg.Key)
	if r.cfg.Timeout > 0 {
		req.Header.Set("Mill-Timeout", r.cfg.Timeout.String())
	}
	if r.cfg.Epoch != "" {
		req.Header.Set("Mill-Epoch", r.cfg.Epoch)
		req.Header.Set("Mill-Adapter", r.cfg.Adapter)
	}
	start := time.Now()
	res, err := r.client.Do(req)
	if err != nil {
		return outcome{kind: "cut", reason: "connection"}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readRefusal(res)
	}
	return r.readStream(res, start, engine.Text(prompt, r.cfg.Adapter, r.cfg.AnswerTokens))
}

// readRefusal returns the outcome that a response other than 200 OK states.
func readRefusal(res *http.Response) outcome {
	var p problem
	_ = json.NewDecoder(res.Body).Decode(&p)
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return outcome{kind: p.Outcome, reason: p.Reason, retryAfter: time.Duration(seconds) * time.Second}
}

// readStream reads the events of an answer until its end mark and compares its text with
// expected.
func (r *runner) readStream(res *http.Response, start time.Time, expected string) outcome {
	var o outcome
	var text strings.Builder
	last := start
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.kind = "answered"
			if text.String() != expected {
				o.kind = "wrong"
			}
			return o
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) != nil {
			return outcome{kind: "wrong", reason: "badEvent"}
		}
		if c.Error != nil {
			return outcome{kind: c.Error.Outcome, reason: c.Error.Reason}
		}
		now := time.Now()
		if text.Len() == 0 {
			o.firstByte = now.Sub(start)
		} else {
			o.betweenTokens = append(o.betweenTokens, now.Sub(last))
		}
		last = now
		if len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return outcome{kind: "cut", reason: "noEndMark"}
}
