// Package faker provides an in-memory fake of the platform's key-value store that can
// simulate outages, lost answers and restored backups. It is for tests only.
package faker
