// Command repair measures the repair policy of replica groups: group downtime and stranded
// accelerators over a day of faults, for both users' sizes, against waiting for each lost
// member and against always rebuilding with any free endpoint.
//
// The faults are read from traces/, one file a user and seed; -generate writes them anew. The
// real core of grouper runs over the models of package modeler, on a clock of its own, so
// that a run's output depends on the traces alone.
package main
