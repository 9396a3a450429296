// Command millctl is the command line tool for operators. It checks, proposes, compares and
// signs off bundles, shows which instances have applied them, and reads the audit trail. It
// calls the administration API of any entry instance. On the users' platform it lists and lifts
// quarantines and lists the endpoints that leave. Private keys never leave the computer of the
// operator.
package main
