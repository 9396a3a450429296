// Package formatter provides types whose JSON form is easier to read than the form that
// the standard library writes.
package formatter
