// Package requester sends requests to endpoints and reads their answers, over its own HTTP/1.1 connections.
//
// It uses the parsers of net/http but not http.Transport, because a Transport may resend a
// request by itself and can't continue after an answer that belongs to an earlier request.
// This package writes a request once, to one connection. An error states whether any byte of
// the request may have been sent. Answers are matched by the request's ID, which endpoints
// echo, and stale answers to earlier requests are skipped. A connection is reused only if the
// last answer was read to its end and no further bytes followed.
package requester
