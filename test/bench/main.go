// Command bench runs the measurements that docs/CAPACITY.md is based on and prints the results as a Markdown table.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/citronglade/citronglade/internal/measure/slope"
)

func main() {
	only := flag.String("only", "", "name of the only measurement to run; empty runs all")
	flag.Parse()
	if err := run(*only); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(only string) error {
	measurements := slope.Table
	if only != "" {
		measurement, err := slope.New(only)
		if err != nil {
			return err
		}
		measurements = []slope.Measurement{measurement}
	}
	fmt.Println("| mechanism | size | quantity | value | unit |")
	fmt.Println("|---|---|---|---|---|")
	for _, m := range measurements {
		rows, err := m.Run()
		if err != nil {
			return err
		}
		for _, r := range rows {
			fmt.Printf("| %s | %s | %s | %.3g | %s |\n", r.Mechanism, r.Size, r.Quantity, r.Value, r.Unit)
		}
	}
	return nil
}
