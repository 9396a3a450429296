package defaulter

// Set gives *v the value of its default if it is zero.
func Set[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
