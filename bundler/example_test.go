package bundler_test

import (
	"errors"
	"fmt"

	"amaranthmill/bundler"
)

// Check reports all faults of a bundle, each with its path and how to correct it.
func ExampleCheck() {
	_, err := bundler.Check([]byte(`{"version": 1, "author": "ada", "models": [{"name": "guide", "pool": "a", "deadline": "0s"}]}`), nil)
	var invalid *bundler.InvalidError
	if errors.As(err, &invalid) {
		for _, p := range invalid.Problems {
			fmt.Println(p)
		}
	}
	// Output:
	// models[0].deadline: is 0s; want more than 0s and at most 1h0m0s
	// models[0].pool: no pool is named "a"; add it to pools or correct the name
}
