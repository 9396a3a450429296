// Package problemwriter writes the problem document (RFC 9457) that a caller receives if a
// request ends without an answer.
package problemwriter
