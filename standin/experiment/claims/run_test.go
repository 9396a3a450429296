package main

import (
	"testing"

	"github.com/matryer/is"
)

func TestEachKeyRunsOnce(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sum, err := run(t.Context(), sc, 20, 3)
			is.NoErr(err)
			is.Equal(sum.ran, 20)  // every key ran
			is.Equal(sum.twice, 0) // none twice
			is.Equal(sum.open, 0)  // every arrival was answered for good
		})
	}
}
