// Command cases runs the scripts of the second review: cases NAME FOLDER. It starts the system's own programs as separate processes on
// loopback addresses, plays clients, replicas and the operator itself, and writes FOLDER/record.txt. It exits with 1 if the rule was broken, with 0
// if it held and with 2 if the case couldn't run. With TROUBLE=0 the same happens without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// scenario plays a case. It returns what broke the rule, nothing if the rule held.
type scenario func(root string, rec *record, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{"memory": memory}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %t", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](root, rec, trouble)
	for _, text := range broken {
		rec.printf("BROKEN: %s", text)
	}
	if err != nil {
		rec.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(broken) > 0 {
		fmt.Println("rule broken:", len(broken), "times, first:", broken[0])
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("rule held")
	return 0
}
