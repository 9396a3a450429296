package runner

import "context"

// latest passes the most recent value to deliver on the goroutine of run, so that put never
// waits for deliver. A value that is replaced before its delivery is dropped.
type latest[T any] struct {
	values  chan T
	deliver func(T)
}

func newLatest[T any](deliver func(T)) *latest[T] {
	return &latest[T]{values: make(chan T, 1), deliver: deliver}
}

// put replaces the value that awaits delivery. It must not be called concurrently.
func (l *latest[T]) put(v T) {
	select {
	case <-l.values:
	default:
	}
	l.values <- v
}

// run delivers values until ctx is done. It returns nil.
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
