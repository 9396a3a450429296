// Package spawner starts programs as separate processes with their output in log files, and
// stops, freezes and kills just these.
package spawner
