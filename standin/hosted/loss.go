package hosted

// loss makes one in so many things get lost. The zero value loses none. Its owner guards it.
type loss struct{ in, seen int }

// next reports whether the next thing gets lost.
func (l *loss) next() bool {
	l.seen++
	return l.in > 0 && l.seen%l.in == 0
}
