// Package decoder decodes JSON documents that people write. It rejects unknown fields and
// values of a wrong type, and reports all faults together, each with the path of the field
// and how to correct it.
package decoder
