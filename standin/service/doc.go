// Package service is a stand-in for a plain service, such as a booking or a renewal
// application. It counts how often it executed each call, so that a trial can show that no
// call was executed twice.
package service
