// Package runner wires the slices of one instance together and runs them.
package runner
