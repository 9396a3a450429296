package hosted

import (
	"io"
	"net/http"
	"time"
)

// SilencePoint is the point up to which a silent engine sends an answer.
type SilencePoint uint8

// The points of an answer. At each of them, answers that are past it wait before their next event.
const (
	BeforeHeader     SilencePoint = iota // new answers wait before their header
	BeforeFirstEvent                     // new answers wait between their header and their first event or their body
	InsideEvent                          // answers wait after half of their next event, or of their body
)

// silence is a period in which an engine sends nothing. The zero value is over.
type silence struct {
	point SilencePoint
	end   time.Time
}

// Silence makes the engine send nothing for d, except what is due up to the point in each
// answer. Answers to reports, orders and liveness checks wait too, and orders are carried out
// after the silence. The engine accepts connections and requests and keeps its work, its group
// and its entry in the store, and goes on after the silence. A silence that begins during
// another one replaces its point and can extend it, but does not shorten it.
func (e *Engine) Silence(point SilencePoint, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silence.point = point
	if end := time.Now().Add(d); end.After(e.silence.end) {
		e.silence.end = end
	}
}

// awaitEndOfSilence waits until the engine is not silent.
func (e *Engine) awaitEndOfSilence() {
	for {
		left := time.Until(e.currentSilence().end)
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (e *Engine) currentSilence() silence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silence
}

// isSilentAt reports whether the engine is silent, with its answers waiting at point.
func (e *Engine) isSilentAt(point SilencePoint) bool {
	s := e.currentSilence()
	return s.point == point && time.Now().Before(s.end)
}

// awaitHeader waits until the header of an answer may be sent. Before a silence between header
// and first event, it sends the header.
func (e *Engine) awaitHeader(w http.ResponseWriter) error {
	if e.isSilentAt(BeforeFirstEvent) {
		return http.NewResponseController(w).Flush()
	}
	if !e.isSilentAt(InsideEvent) {
		e.awaitEndOfSilence()
	}
	return nil
}

// writePart writes an event or a body, of which half is sent before a silence inside an event.
func (e *Engine) writePart(w http.ResponseWriter, part string) error {
	sent := 0
	if e.isSilentAt(InsideEvent) {
		sent = len(part) / 2
		if err := send(w, part[:sent]); err != nil {
			return err
		}
	}
	e.awaitEndOfSilence()
	_, err := io.WriteString(w, part[sent:])
	return err
}

// send writes text and sends it without delay.
func send(w http.ResponseWriter, text string) error {
	if _, err := io.WriteString(w, text); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
