package router

// AnswerTracker tracks the parts of one streamed answer over all its attempts and decides
// which of them are delivered, so that the caller receives each character once and in order.
// The zero value is an answer of which nothing was delivered. It is not safe for concurrent use.
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
	End      bool // this part is the end mark
}

// Verdict is the decision on a frame.
type Verdict uint8

// The decisions on a frame.
const (
	Pass Verdict = iota // deliver the frame to the caller
	Drop                // discard the frame: it is a duplicate, comes after the end mark or is from an earlier attempt
	Gap                 // end the attempt: the frame does not start at the delivered position
)

// BeginAttempt starts an attempt. From then on frames of earlier attempts are dropped.
func (a *AnswerTracker) BeginAttempt(attempt int) { a.attempt = attempt }

// Delivered returns the number of content characters delivered to the caller.
func (a *AnswerTracker) Delivered() int { return a.delivered }

// IsComplete reports whether the end mark was delivered.
func (a *AnswerTracker) IsComplete() bool { return a.ended }

// Accept decides on f and advances the delivered position if f passes.
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
