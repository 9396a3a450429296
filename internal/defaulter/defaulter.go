package defaulter

// Set sets *v to value if *v is the zero value.
func Set[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
