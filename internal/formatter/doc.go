// Package formatter has the text forms of values that the standard library writes
// less readably in JSON.
package formatter
