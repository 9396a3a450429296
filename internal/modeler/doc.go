// Package modeler runs the real cores of grouper and prober against models of the engines
// and of the platform's store, in simulated time. It is for property tests, session scripts
// and experiments. It models neither the network nor requests.
package modeler
