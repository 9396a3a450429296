// Package builder builds the amaranthmill program for tests that run an instance as a process.
package builder
