// Package administrator serves the administration API over bundles, groups, instances and
// the audit trail.
//
// Every instance serves it, and any instance may be asked: what must last is in the
// platform's service. Nothing in it changes one instance by hand; a bundle that was
// signed off is the only change. An operator shows a bearer token, of which the settings
// hold the digest, the operator's name and roles. Private keys never reach the API: a
// signer signs on their own computer and sends the signature.
//
// Errors are problem details as in RFC 9457.
package administrator
