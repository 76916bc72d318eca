package relaycodec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
)

// changes returns the changes of n upstream entries.
func changes(n int) *pb.RelayedChanges {
	c := &pb.RelayedChanges{Kind: "servers", After: 7, Next: 9}
	for i := range n {
		data := fmt.Sprintf(`{"service":"s","address":"10.1.0.%d:8000","zone":"z","state":"ready","models":[{"name":"m%d","version":1,"adapters":["a1","a%d"]}]}`, i%250, i, i)
		c.Objects = append(c.Objects, &pb.RelayedObject{Name: fmt.Sprint("i-", i), Version: uint64(i), Data: []byte(data)})
	}
	return c
}

func TestPackedChangesAreUnpackedUnchangedAndSmall(t *testing.T) {
	for _, n := range []int{0, 1, 20, 200} {
		c := changes(n)
		packed, err := Pack(c)
		assert.NilError(t, err)
		got, err := Unpack(packed)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, c))
		if n >= 20 {
			assert.Assert(t, 4*len(packed) < proto.Size(c), "%d of %d bytes", len(packed), proto.Size(c))
		}
	}
}

func TestTooLargeChangesAreRejected(t *testing.T) {
	_, err := Pack(changes(5000))
	assert.ErrorIs(t, err, ErrTooLarge)
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	assert.NilError(t, err)
	_, err = w.Write(make([]byte, 10*MaxUnpackedBytes))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = Unpack(bomb.Bytes())
	assert.ErrorIs(t, err, ErrTooLarge)
}

// Datagrams may come from anywhere.
func FuzzUnpack(f *testing.F) {
	for _, n := range []int{0, 1, 3} {
		packed, err := Pack(changes(n))
		assert.NilError(f, err)
		f.Add(packed)
	}
	f.Add([]byte{})
	f.Add([]byte("\xff\x00not deflate"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Unpack(data)
		assert.Equal(t, c == nil, err != nil)
	})
}
