// Package test checks the documentation of the repository and the output of the command line.
package test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against references to tests or scenario scripts in docs/proof.md that don't exist.
func TestProofNamesExist(t *testing.T) {
	page, err := os.ReadFile("../docs/proof.md")
	assert.NilError(t, err)
	functions := testFunctions(t)
	for _, name := range regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z]\w*`).FindAllString(string(page), -1) {
		assert.Check(t, functions[name] || name == "TestScenarios", "no test file has %s", name)
	}
	scripts := regexp.MustCompile("`((?:once|configuration|streams|cache|poison|leaving|input|pair)_[a-z_]+)`")
	for _, match := range scripts.FindAllStringSubmatch(string(page), -1) {
		_, err := os.Stat(filepath.Join("scenarios", match[1]+".txtar"))
		assert.Check(t, err, "no script %s", match[1])
	}
}

// testFunctions returns the names of all tests, fuzz tests and benchmarks of the repository.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	functions := map[string]bool{}
	pattern := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range pattern.FindAllStringSubmatch(string(source), -1) {
			functions[match[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	return functions
}
