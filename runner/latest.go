package runner

import "context"

// latest hands the newest value to a function on a goroutine of its own, so that whoever
// puts it never waits for the function. Values that were overtaken are dropped.
type latest[T any] struct {
	values  chan T
	deliver func(T)
}

func newLatest[T any](deliver func(T)) *latest[T] {
	return &latest[T]{values: make(chan T, 1), deliver: deliver}
}

// put replaces the value that waits. It is not safe for concurrent use.
func (l *latest[T]) put(v T) {
	select {
	case <-l.values:
	default:
	}
	l.values <- v
}

// run delivers until ctx ends.
func (l *latest[T]) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-l.values:
			l.deliver(v)
		}
	}
}
