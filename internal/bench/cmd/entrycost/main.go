// Command entrycost prints what the entry process adds to requests.
package main

import (
	"flag"
	"fmt"
	"log"

	"savoryweir/internal/bench/entrycost"
)

const mebibyte = 1 << 20

func main() {
	binaries := flag.String("bin", "bin", "folder with the binaries")
	_ = flag.String("out", "", "folder for plots (this bench writes none)")
	flag.Parse()
	r, err := entrycost.Run(*binaries)
	if err != nil {
		log.Fatal(err)
	}
	fmt.Printf("%-22s %12s %12s %12s\n", "", "direct", "by entry", "added")
	row("read p50", r.ReadDirect.P50.Microseconds(), r.ReadEntry.P50.Microseconds())
	row("read p99", r.ReadDirect.P99.Microseconds(), r.ReadEntry.P99.Microseconds())
	row("first token p50", r.StreamDirect.P50.Microseconds(), r.StreamEntry.P50.Microseconds())
	row("first token p99", r.StreamDirect.P99.Microseconds(), r.StreamEntry.P99.Microseconds())
	fmt.Printf("entry CPU per 1,000 streamed tokens: %v\n", r.CPUPerThousandTokens)
	for _, f := range []struct {
		name  string
		value entrycost.Footprint
	}{{"before", r.Before}, {"1,000 streams open", r.Open}, {"after", r.After}} {
		fmt.Printf("%-20s %6.0f goroutines, heap %6.1f MiB, resident %6.1f MiB\n",
			f.name, f.value.Goroutines, f.value.HeapBytes/mebibyte, f.value.Resident/mebibyte)
	}
}

func row(name string, direct, entry int64) {
	fmt.Printf("%-22s %9d µs %9d µs %9d µs\n", name, direct, entry, entry-direct)
}
