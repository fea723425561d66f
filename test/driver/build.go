package driver

import (
	"os/exec"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Build compiles the citronglade binary from the module in folder and writes it to the path binary.
func Build(folder, binary string) error {
	command := exec.Command("go", "build", "-o", binary, "./cmd/citronglade") //nolint:gosec,noctx // the driver builds the binary under test
	command.Dir = folder
	if output, err := command.CombinedOutput(); err != nil {
		return fault.Internal.New("cannot build the binary: %s", output)
	}
	return nil
}
