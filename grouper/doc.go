// Package grouper assigns endpoints to replica groups and repairs broken groups.
package grouper
