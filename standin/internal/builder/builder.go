package builder

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// BuildInstance builds the program into a folder and returns its path.
func BuildInstance(dir string) (string, error) {
	binary := filepath.Join(dir, "amaranthmill")
	if out, err := exec.Command("go", "build", "-o", binary, "amaranthmill/cmd/amaranthmill").CombinedOutput(); err != nil {
		return "", fmt.Errorf("builder: %w\n%s", err, out)
	}
	return binary, nil
}
