// Package logwriter takes log lines off the path of requests.
//
// Lines go into a queue of bounded size, which one goroutine writes out in large parts. A
// writer never waits for it. As the queue fills, ordinary lines are sampled and then left
// out; lines on what went wrong have room of their own and go last. What was left out is
// counted, and a line says so.
package logwriter
