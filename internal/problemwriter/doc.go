// Package problemwriter tells callers how a request ended without its answer, as a problem document (RFC 9457).
package problemwriter
