package router

// AnswerTracker follows the parts of one streamed answer over all its attempts and decides
// which of them the caller gets, so that each character goes out once and in order. The
// zero value is an answer of which nothing was delivered. It is not safe for concurrent use.
type AnswerTracker struct {
	attempt   int
	delivered int
	ended     bool
}

// Frame is one part of a streamed answer.
type Frame struct {
	Attempt  int
	Position int  // content characters of the answer before this part
	Length   int  // content characters in this part
	End      bool // the end mark
}

// Verdict says what becomes of a frame.
type Verdict uint8

// The verdicts on a frame.
const (
	Pass Verdict = iota // goes to the caller
	Drop                // is late or a duplicate
	Gap                 // does not follow what was delivered; the attempt can't go on
)

// BeginAttempt starts an attempt. Frames of earlier attempts are late from now on.
func (a *AnswerTracker) BeginAttempt(attempt int) { a.attempt = attempt }

// Delivered returns the content characters that the caller has.
func (a *AnswerTracker) Delivered() int { return a.delivered }

// IsComplete reports whether the end mark was passed.
func (a *AnswerTracker) IsComplete() bool { return a.ended }

// Accept decides on f and counts it if it passes.
func (a *AnswerTracker) Accept(f Frame) Verdict {
	switch {
	case a.ended || f.Attempt != a.attempt:
		return Drop
	case f.Position+f.Length <= a.delivered && f.Position != a.delivered:
		return Drop
	case f.Position != a.delivered:
		return Gap
	}
	a.delivered += f.Length
	a.ended = f.End
	return Pass
}
