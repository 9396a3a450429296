// Package configurer reads and checks the settings of an instance.
package configurer
