// Package relaycodec compresses the changes of the platform's store that one instance relays
// to the others. Entries of upstreams are verbose and much alike, so that the compressed
// changes take a fraction of their size on the instances' links.
package relaycodec

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	pb "savoryweir/api/savoryweir/v1"
)

// MaxUnpackedBytes limits the size of the changes in one message.
const MaxUnpackedBytes = 256 << 10

// ErrTooLarge reports changes of more than MaxUnpackedBytes.
var ErrTooLarge = errors.New("relayed changes are too large")

// writers and readers are reused because each holds large tables.
var (
	writers = sync.Pool{New: func() any {
		w, _ := flate.NewWriter(io.Discard, flate.DefaultCompression) // fails for unknown levels alone
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Pack encodes and compresses changes. It returns ErrTooLarge if they exceed
// MaxUnpackedBytes.
func Pack(c *pb.RelayedChanges) ([]byte, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxUnpackedBytes {
		return nil, ErrTooLarge
	}
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	var packed bytes.Buffer
	w.Reset(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Unpack decompresses and decodes changes. It returns an error if the data was not made by
// Pack, and ErrTooLarge if the changes exceed MaxUnpackedBytes.
func Unpack(packed []byte) (*pb.RelayedChanges, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxUnpackedBytes {
		return nil, ErrTooLarge
	}
	var c pb.RelayedChanges
	if err := proto.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	return &c, nil
}
