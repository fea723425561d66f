// Command citronglade routes language-model traffic. See the README for its subcommands.
package main

import (
	"os"

	"github.com/citronglade/citronglade/internal/command/root"
	"github.com/citronglade/citronglade/platform"
)

func main() {
	os.Exit(root.Run(os.Args, os.Stdout, os.Stderr, platform.NewCommand))
}
