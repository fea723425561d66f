// Command case plays one case of the review: case NAME RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// couldn't run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"

	"github.com/citronglade/citronglade/review/_tools-3/rig"
)

// errCannotRun is why a case couldn't run.
type errCannotRun struct{ cause string }

func (e errCannotRun) Error() string { return e.cause }

var cases = map[string]func(r *rig.Record, trouble bool) (broken bool, err error){
	"lookups": playLookups,
	"writer":  playOtherWriter,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		os.Exit(2)
	}
	record, err := rig.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	code := 0
	switch {
	case err != nil:
		record.Result("could not run: " + err.Error())
		code = 2
	case broken:
		code = 1
	}
	record.Close()
	os.Exit(code)
}
