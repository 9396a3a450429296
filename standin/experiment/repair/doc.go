// Command repair measures the repair policy of replica groups: the group downtime and the
// stranded accelerators of one day of faults, for fleets of both users. It compares the weighted
// policy with two plain policies, which wait for each lost member or always rebuild with any
// idle endpoint.
//
// The faults are read from traces/, with one file for each fleet and seed; -generate rewrites
// the files. The core of package grouper runs on the fleet model of package modeler and on
// simulated time, so the output depends only on the traces.
package main
