// Package builder builds the program of an instance for tests that run it as a process.
package builder
