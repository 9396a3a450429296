// Package prober watches the endpoints of a failure domain: liveness, load, leaving and stragglers.
package prober
