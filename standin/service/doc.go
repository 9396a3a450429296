// Package service stands in for a plain service, such as a booking or a renewal
// application. It counts how often it ran each call, so that a trial can show that none
// ran twice.
package service
