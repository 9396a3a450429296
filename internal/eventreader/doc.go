// Package eventreader reads streams of server-sent events one whole event at a time.
package eventreader
