// Package differ compresses large values, with an earlier version of the value as dictionary where both
// sides have it. Two versions of a large configuration usually differ in a few hundred bytes, so that
// the result takes about a thousandth of the value.
package differ
