package builder

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// BuildInstance builds the amaranthmill program into dir and returns the path of the binary.
func BuildInstance(dir string) (string, error) {
	if err := Build(dir, "amaranthmill/cmd/amaranthmill"); err != nil {
		return "", err
	}
	return filepath.Join(dir, "amaranthmill"), nil
}

// Build builds programs into dir, which must exist.
func Build(dir string, programs ...string) error {
	for _, program := range programs {
		binary := filepath.Join(dir, filepath.Base(program))
		if out, err := exec.Command("go", "build", "-o", binary, program).CombinedOutput(); err != nil {
			return fmt.Errorf("builder: go build of %s failed: %w\n%s", program, err, out)
		}
	}
	return nil
}

// RunTests builds the amaranthmill program into a temporary directory, stores the path of the binary in
// binary, runs the tests of a package and returns its exit code. It is for TestMain.
func RunTests(m *testing.M, binary *string) int {
	dir, err := os.MkdirTemp("", "amaranthmill")
	if err != nil {
		fmt.Fprintln(os.Stderr, "builder:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // a directory that can't be removed stays below the temporary folder
	if *binary, err = BuildInstance(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
