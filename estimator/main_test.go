package estimator_test

import (
	"os"
	"testing"

	"amaranthmill/internal/scripter"
)

func TestMain(m *testing.M) {
	scripter.FixPropertyTests()
	os.Exit(m.Run())
}
