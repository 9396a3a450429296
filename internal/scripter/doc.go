// Package scripter runs session scripts: data files that list time-stamped events and, after
// each group of events, the expected actions. It is for tests only.
//
// A script is a file of package datadriven. Each paragraph consists of one or more event
// lines, a line of four dashes and the actions that the events cause, one per line:
//
//	# An endpoint that is leaving gets no new work.
//	at 1s   leaving endpoint=10.1.0.7:9000
//	at 1.3s request id=r1
//	----
//	dispatch id=r1 endpoint=10.1.0.8:9000
//
// Times are offsets from Start and must not decrease within a file. By default the test
// compares the actions; with the test flag -rewrite it writes the actual actions into the files.
package scripter
