// Package decoder reads JSON documents that people write. It refuses unknown fields and
// failed checks all at once, each with the path of the field and what mends it.
package decoder
