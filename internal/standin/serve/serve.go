// Package serve runs the HTTP server of a stand-in program until a signal.
package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
)

// NewServer returns a server for HTTP/1.1 and for HTTP/2 without TLS.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols}
}

// Run listens on address, prints it and serves until SIGINT or SIGTERM.
func Run(name, address string, handler http.Handler, work func(context.Context)) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Printf("%s listens on %s\n", name, listener.Addr())
	server := NewServer(handler)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go work(ctx)
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
