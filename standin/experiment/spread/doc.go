// Command spread measures how a bundle comes into force on every instance: the calls of
// the platform's service, the documents sent between instances and the time. Instances
// run in one process, with the stand-in platform and the links between them on loopback.
package main
