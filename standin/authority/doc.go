// Package authority stands in for a firm's certificate authority: it makes the
// certificates that instances show each other.
package authority
