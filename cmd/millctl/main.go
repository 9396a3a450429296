// Command millctl is part of amaranthmill.
package main

func main() {}
