// Package logwriter writes log lines without blocking the requests that log them.
//
// Lines are added to a queue of bounded size, which one goroutine writes out in large blocks.
// Adding a line never waits for the output. As the queue fills, ordinary lines, those at
// info level or below, are first sampled and then dropped. Severe lines, those at warn level or
// above, have reserved space and are dropped last. Dropped lines are counted, and a log line reports their number.
package logwriter
