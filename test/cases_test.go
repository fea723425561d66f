package test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/citronglade/citronglade/test/driver"
)

// Guards against unintended changes of the commands' output and exit codes, which operators' scripts rely on. Each folder
// below cases contains a command line and its expected output; go test ./test -update rewrites the expected outputs.
func TestCases(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "citronglade")
	assert.NilError(t, driver.Build("..", binary))
	files, err := filepath.Glob("cases/*/cmd")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(filepath.Dir(file)), func(t *testing.T) {
			line, err := os.ReadFile(file)
			assert.NilError(t, err)
			expected, err := filepath.Abs(filepath.Join(filepath.Dir(file), "expected_output"))
			assert.NilError(t, err)
			golden.Assert(t, runCase(binary, strings.Fields(string(line))), expected)
		})
	}
}

// runCase runs the binary in the folder cases and returns its standard output, standard error and exit code as one text.
func runCase(binary string, arguments []string) string {
	var stdout, stderr bytes.Buffer
	command := exec.Command(binary, arguments...)
	command.Dir = "cases"
	command.Env = []string{"PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = &stdout, &stderr
	_ = command.Run()
	return fmt.Sprintf("%s--- standard error\n%s--- exit code %d\n", stdout.String(), stderr.String(), command.ProcessState.ExitCode())
}
