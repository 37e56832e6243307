package testkit

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/rotisserie/eris"
)

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "hemlockpin-bin-")
	if err != nil {
		return "", eris.Wrap(err, "Build: folder")
	}
	_, file, _, _ := runtime.Caller(0)
	cmd := exec.Command("go", "build", "-o", dir, "./cmd/...")
	cmd.Dir = filepath.Join(filepath.Dir(file), "..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", eris.Wrapf(err, "Build: %s", out)
	}
	return dir, nil
})

// Build builds all commands of the module once per test program and returns the
// folder with the binaries.
func Build() (string, error) { return buildOnce() }
