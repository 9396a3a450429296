package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestPath runs complete systems in separate processes, as the scripts in testdata/script describe.
func TestPath(t *testing.T) {
	is := is.New(t)
	bin := t.TempDir()
	build := exec.Command("go", "build", "-race", "-o", bin+string(filepath.Separator), "amaranthmill/cmd/amaranthmill", "amaranthmill/cmd/millctl", "amaranthmill/standin/cmd/standin")
	out, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %s", out)
	}
	is.NoErr(err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
	})
}
