// Package requester exchanges requests and answers with endpoints over HTTP/1.1 connections of its own.
//
// It uses the parsers of net/http and not its Transport, which may send a request a second
// time on its own and can't go on after an answer that belongs to an earlier request. Here
// a request is written once, to one connection. The error tells whether a byte of it may have
// left. An answer is matched by the request's identity, which endpoints echo: answers to
// earlier requests are read past. A connection is used again only if the last answer was
// read to its end and nothing followed it.
package requester
