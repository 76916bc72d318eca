// Command objectapi runs the stand-in of the platform's object API.
package main

import (
	"flag"
	"log"
	"net/http"
	"time"

	"savoryweir/internal/standin/objectapi"
)

func main() {
	address := flag.String("address", "127.0.0.1:7900", "address of the object API")
	admin := flag.String("admin", "127.0.0.1:7901", "address of the fault switches")
	writes := flag.Int("writes", 300, "writes per second")
	reads := flag.Int("reads", 2000, "reads per second")
	flag.Parse()

	store := objectapi.New(time.Now, objectapi.Limits{WritesPerSecond: *writes, ReadsPerSecond: *reads})
	failed := make(chan error, 2)
	go func() { failed <- http.ListenAndServe(*address, objectapi.Handler(store)) }()
	go func() { failed <- http.ListenAndServe(*admin, objectapi.AdminHandler(store)) }()
	log.Fatal(<-failed)
}
