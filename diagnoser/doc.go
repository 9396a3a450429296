// Package diagnoser finds in the log lines of instances what became of one request and why:
// its own lines, and those on what they depend on, such as the group that it was sent to.
package diagnoser
