// Command spread measures how a new bundle version comes into force on every instance: the
// time, the calls to the platform's store and the documents sent between instances. All
// instances run in one process and use loopback to reach the platform stand-in and each other.
package main
