// Package authority is a stand-in for an organization's certificate authority. It issues the
// certificates with which instances authenticate to each other.
package authority
