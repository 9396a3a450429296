// Package diagnoser explains the outcome of one request from the log lines of instances. It
// selects the lines of the request and the lines about what the request depended on, such as
// the group that it was sent to.
package diagnoser
