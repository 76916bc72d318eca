// Command weights runs the stand-in of the rate-limited weight store.
package main

import (
	"flag"
	"log"
	"net/http"
	"time"

	"savoryweir/internal/standin/weights"
)

func main() {
	address := flag.String("address", "127.0.0.1:7910", "address of the weight store")
	rate := flag.Float64("rate", 1, "model loads per second")
	atOnce := flag.Int("at-once", 4, "model loads at once at full speed")
	adapterTime := flag.Duration("adapter-time", 7500*time.Microsecond, "duration of an adapter load at full speed")
	inTransit := flag.Int("adapters-in-transit", 30, "adapter loads at once at full speed")
	flag.Parse()

	store := weights.New(weights.Limits{
		LoadsPerSecond:    *rate,
		AtOnce:            *atOnce,
		AdapterTime:       *adapterTime,
		AdaptersInTransit: *inTransit,
	})
	log.Fatal(http.ListenAndServe(*address, weights.Handler(store)))
}
