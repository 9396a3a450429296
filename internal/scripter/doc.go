// Package scripter runs session scripts: data files of time-stamped events with the
// expected actions under each run of events. It is for tests only.
//
// A script is a datadriven file. Each paragraph is one or more event lines, a line of
// four dashes and the actions that the events cause, one a line:
//
//	# An endpoint that is leaving gets no new work.
//	at 1s   leaving endpoint=10.1.0.7:9000
//	at 1.3s request id=r1
//	----
//	dispatch id=r1 endpoint=10.1.0.8:9000
//
// Times are offsets from Start and never go back within a file. A plain run only
// compares; the test flag -rewrite writes the actions seen into the files.
package scripter
