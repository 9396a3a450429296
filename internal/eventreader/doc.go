// Package eventreader reads streams of server-sent events one complete event at a time.
package eventreader
