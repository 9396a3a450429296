// Package spawner starts programs as separate processes with their output in log files. It
// stops, freezes and kills only processes that it has started.
package spawner
