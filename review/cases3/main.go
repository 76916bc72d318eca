// Command cases3 plays the scripted cases of the third review.
package main

import (
	"fmt"
	"os"

	"savoryweir/review/lab"
)

// play plays a case and reports whether the rule was broken.
type play func(l *lab.Lab, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"early-reset": playEarlyReset,
	"canary":      playCanary,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name: CASE PROGRAM RECORD.
func run(args []string) int {
	if len(args) != 3 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases3 CASE PROGRAM RECORD")
		return lab.CantDo
	}
	l, err := lab.New(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return lab.CantDo
	}
	defer l.Close()
	broken, err := plays[args[0]](l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		l.Record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return lab.CantDo
	case broken:
		l.Record("the rule was broken")
		return lab.Broken
	default:
		l.Record("the rule held")
		return lab.Held
	}
}
