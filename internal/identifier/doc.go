// Package identifier defines the identifiers that several packages share, such as those
// of instances, endpoints, failure domains, client accounts and versions. Identifiers are
// opaque: no package interprets their text. The zero value means "none".
package identifier
