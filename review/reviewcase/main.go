// Command reviewcase plays one case of the review: reviewcase NAME FOLDER, in the root of the repository.
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"

	"savoryweir/review/world"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scene is what a case gets: the deployment, and whether to cause the disruption.
type scene struct {
	*world.World
	trouble bool
}

// cases return how often the rule was broken.
var cases = map[string]func(*scene) (broken int, err error){
	"refused-though-run":  refusedThoughRun,
	"stream-cut-in-event": streamCutInEvent,
	"streams-after-kill":  streamsAfterKill,
	"late-adapter-order":  lateAdapterOrder,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase NAME FOLDER")
		return exitFailed
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w, err := world.New(root, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.Close(os.Getenv("KEEP_LOGS") != "")
	broken, err := cases[os.Args[1]](&scene{World: w, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		w.Record.Write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken > 0:
		w.Record.Write("the rule was broken %d times", broken)
		fmt.Printf("broken %d times\n", broken)
		return exitBroken
	default:
		w.Record.Write("the rule held")
		fmt.Println("held")
		return exitHeld
	}
}
