// Package modeler runs the real cores of grouper and prober over models of engines and of
// the platform's record store, on a clock of its own. It is for property tests, session
// scripts and experiments; it models no network and no requests.
package modeler
