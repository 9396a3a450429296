// Package server serves callers over HTTP.
package server
