// Package configurer reads and validates the settings of an instance.
package configurer
