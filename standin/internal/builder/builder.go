package builder

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// BuildInstance builds the amaranthmill program into dir and returns the path of the binary.
func BuildInstance(dir string) (string, error) {
	binary := filepath.Join(dir, "amaranthmill")
	if out, err := exec.Command("go", "build", "-o", binary, "amaranthmill/cmd/amaranthmill").CombinedOutput(); err != nil {
		return "", fmt.Errorf("builder: go build of amaranthmill failed: %w\n%s", err, out)
	}
	return binary, nil
}
