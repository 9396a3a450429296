// Package defaulter sets the documented defaults of settings whose zero value stands for
// the default.
package defaulter
