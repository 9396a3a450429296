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
			sum, err := runScenario(t.Context(), sc, 20, 3)
			is.NoErr(err)
			is.Equal(sum.keysRun, 20)     // every key ran
			is.Equal(sum.keysRunTwice, 0) // no key ran twice
			is.Equal(sum.unanswered, 0)   // every call got a definite answer
		})
	}
}
