// Package administrator provides the administration API for bundles, groups, instances and
// the audit trail.
//
// Every instance serves the API, and a client may call any of them, because persistent state
// is kept in the platform's key-value store. The API cannot change a single instance; the
// only way to change the system is a signed bundle. An operator authenticates with a bearer
// token. The settings hold the digest of the token and the operator's name and roles.
// Private keys never reach the API: a signer signs on their own computer and sends the
// signature.
//
// Errors are problem details according to RFC 9457.
package administrator
