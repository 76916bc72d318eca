// Package peerconn manages the gRPC connections between the control processes of the
// instances and counts the bytes that are sent and received on them.
package peerconn

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Limits of a connection. Buffers are small because control messages are short.
const (
	bufferBytes     = 4 << 10
	maxMessageBytes = 4 << 20
	// windowBytes is the flow control window of streams and connections. A fixed window
	// avoids the pings that gRPC sends, one for each message, to size windows dynamically.
	windowBytes       = 256 << 10
	idleTimeout       = 30 * time.Second
	dialTimeout       = 2 * time.Second
	maxReconnectDelay = 2 * time.Second
)

// Pool holds one connection for each address. It is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption

	mu    sync.Mutex // guards conns
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool. The credentials are nil for plain TCP. The counter counts
// the bytes of all connections.
func NewPool(c credentials.TransportCredentials, counter *ByteCounter) *Pool {
	return &Pool{options: dialOptions(c, counter), conns: make(map[string]*grpc.ClientConn)}
}

func dialOptions(c credentials.TransportCredentials, counter *ByteCounter) []grpc.DialOption {
	if c == nil {
		c = insecure.NewCredentials()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(c),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(connectParams()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return counter.wrapConn(conn), nil
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	}
}

// Get returns the connection to an address, or creates it if there is none. It does not
// wait until the connection is established.
func (p *Pool) Get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

// Drop closes the connection to an address and removes it from the pool.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if ok {
		_ = conn.Close()
	}
}

// Close closes all connections and removes them from the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// ServerOptions returns the options of a server that accepts the connections of a Pool. The
// credentials are nil for plain TCP.
func ServerOptions(c credentials.TransportCredentials) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
	if c != nil {
		options = append(options, grpc.Creds(c))
	}
	return options
}
