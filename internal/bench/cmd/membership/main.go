// Command membership prints the cost and speed of failure detection and spread.
package main

import (
	"flag"
	"log"
	"os"

	"savoryweir/internal/bench/membership"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random numbers")
	_ = flag.String("out", "", "folder for plots (this bench writes none)")
	flag.Parse()
	if err := membership.Report(os.Stdout, *seed); err != nil {
		log.Fatal(err)
	}
}
