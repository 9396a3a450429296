// Command millctl is the operators' command line: it checks, proposes, compares and signs
// off bundles, shows how far they have spread, and reads the audit trail. It talks to the
// administration API of any entry instance. Private keys stay on the operator's computer.
package main
