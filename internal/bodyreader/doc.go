// Package bodyreader reads the bodies of callers' requests. What has arrived of a body counts in an account of memory that all requests share, and a
// body must have arrived by a time: many bodies that stop short of their end neither use up the memory nor stay.
package bodyreader
