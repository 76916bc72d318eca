package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Hash is the SHA-256 hash that identifies a section of a bundle.
type Hash [sha256.Size]byte

// HashOf returns the SHA-256 hash of data.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// ParseHash decodes a hash from hexadecimal text.
func ParseHash(text string) (Hash, error) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return Hash{}, fmt.Errorf("hash is not hexadecimal: %w", err)
	}
	return HashFromBytes(data)
}

// HashFromBytes returns the hash that consists of the given 32 bytes.
func HashFromBytes(data []byte) (Hash, error) {
	var h Hash
	if len(data) != len(h) {
		return h, fmt.Errorf("hash has %d bytes, want %d", len(data), len(h))
	}
	copy(h[:], data)
	return h, nil
}

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	parsed, err := ParseHash(string(text))
	*h = parsed
	return err
}

// Head identifies a generation and its content. The zero Head means that there is no
// bundle.
type Head struct {
	Generation Generation
	Manifest   Hash // hash of the manifest
	Approval   Hash // hash of the signed approval of this generation
}
