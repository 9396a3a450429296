// Package dispatcher carries out the router's decisions over HTTP and streams the answers.
package dispatcher
