// Package defaulter fills in the documented defaults of settings whose zero value means
// the default.
package defaulter
