package soak

import (
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// A look-up that takes long, or finds another socket with the same port, lets connections of an instance that is cut off look open at first.
func TestPeersOfConnectionsAreFoundByTheirSockets(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	for range 20 {
		dialed, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		accepted, err := l.Accept()
		assert.NilError(t, err)
		inode, ok := inodeOfPeer(accepted.(*net.TCPConn))
		assert.Assert(t, ok)
		listed, ok := inodeOf(dialed.LocalAddr().(*net.TCPAddr), dialed.RemoteAddr().(*net.TCPAddr))
		assert.Assert(t, ok)
		assert.Equal(t, inode, listed)
		assert.Assert(t, holds(os.Getpid(), inode))
		assert.NilError(t, dialed.Close())
		assert.NilError(t, accepted.Close())
	}
}
