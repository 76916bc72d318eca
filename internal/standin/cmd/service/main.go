// Command service runs a stand-in plain service.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"savoryweir/internal/standin/serve"
	"savoryweir/internal/standin/service"
)

type flags struct {
	Address string `help:"IP address and port to listen on." default:"127.0.0.1:0"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("service"), kong.Description("Stand-in plain service for tests and the demo."))
	idle := func(context.Context) {}
	if err := serve.Run("service", f.Address, service.New().Handler(), idle); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
