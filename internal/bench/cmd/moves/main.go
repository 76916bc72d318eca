// Command moves measures the placement policies on the scenarios of both deployments.
package main

import (
	"flag"
	"log"
	"os"

	"savoryweir/internal/bench/moves"
)

func main() {
	out := flag.String("out", "out", "folder for the plots")
	seed := flag.Uint64("seed", 1, "seed of the demand")
	flag.Parse()
	if err := os.MkdirAll(*out, 0o755); err != nil {
		log.Fatal(err)
	}
	for _, s := range []moves.Scenario{moves.Kalyvas(), moves.Magnolia()} {
		var results []moves.Result
		for _, p := range moves.Policies() {
			results = append(results, moves.Run(s, p, *seed))
		}
		moves.Print(os.Stdout, s, *seed, results)
		moves.PrintCosts(os.Stdout, s, results[len(results)-1])
		if err := moves.Plot(*out, s, results); err != nil {
			log.Fatal(err)
		}
	}
}
