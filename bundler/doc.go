// Package bundler validates, signs, verifies and spreads bundles; the version in force only grows.
package bundler
