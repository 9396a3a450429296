// Package faker has an in-memory stand-in of the platform's key-value service, with
// outages, lost answers and restored backups. It is for tests only.
package faker
