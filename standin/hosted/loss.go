package hosted

// lossCounter selects every n-th answer to be lost. The zero value selects none. It is not
// safe for concurrent use.
type lossCounter struct{ every, count int }

// losesNext counts an answer and reports whether it is lost.
func (l *lossCounter) losesNext() bool {
	l.count++
	return l.every > 0 && l.count%l.every == 0
}
