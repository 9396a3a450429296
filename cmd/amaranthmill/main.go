// Command amaranthmill is part of amaranthmill.
package main

func main() {}
