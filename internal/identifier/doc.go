// Package identifier has the names that several slices share: of instances,
// endpoints, failure domains, client accounts and versions. A name is opaque: no
// slice reads meaning from its text, and the zero value of each means "none".
package identifier
