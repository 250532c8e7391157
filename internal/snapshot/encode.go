package snapshot

import (
	"bytes"
	"compress/flate"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"io"
	"os"

	"lukechampine.com/blake3"

	"dalefront/wire"
)

// A snapshot file consists of a magic string, the format version, a flag for whether the checksum is keyed,
// the length of the deflated body, the body itself, and a BLAKE3 checksum over everything before it.
const (
	magic         = "dalefront snapshot\n"
	fileVersion   = 1
	versionOffset = len(magic)     // offset of the format version, 1 byte
	keyedOffset   = len(magic) + 1 // offset of the flag: 1 if the checksum is keyed, otherwise 0
	lengthOffset  = len(magic) + 2 // offset of the deflated body's length, 8 bytes in little endian
	headerLen     = lengthOffset + 8
	checksumLen   = 32
	keyLen        = 32
	maxBodyBytes  = 4 << 30 // maximum size of the inflated body
)

// keyContext is the context of the key derivation. The context makes the keys of snapshot files differ from
// keys that are derived from the same secret for other uses.
const keyContext = "dalefront 2026 snapshot files"

// DeriveKey derives a checksum key from an operator's secret of any length. It returns nil for an empty
// secret.
func DeriveKey(secret []byte) []byte {
	if len(secret) == 0 {
		return nil
	}
	key := make([]byte, keyLen)
	blake3.DeriveKey(key, keyContext, secret)
	return key
}

// ReadKeyFile reads a secret from a file, trims white space around the secret and derives a key from it. The
// error is ErrEmptySecret if the file contains only white space.
func ReadKeyFile(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	secret := bytes.TrimSpace(content)
	if len(secret) == 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrEmptySecret)
	}
	return DeriveKey(secret), nil
}

// checksum returns the BLAKE3 checksum of the content. The checksum is keyed unless the key is nil.
func checksum(content, key []byte) []byte {
	hash := blake3.New(checksumLen, key)
	_, _ = hash.Write(content) // never fails
	return hash.Sum(nil)
}

// Encode returns the snapshot in the file format. The key is a result of DeriveKey, or nil for an unkeyed
// checksum.
func (s *Snapshot) Encode(key []byte) ([]byte, error) {
	body, err := wire.Marshal(s)
	if err != nil {
		return nil, err
	}
	header := make([]byte, headerLen) // the length field is filled in below
	copy(header, magic)
	header[versionOffset] = fileVersion
	if key != nil {
		header[keyedOffset] = 1
	}
	var file bytes.Buffer
	file.Write(header)
	deflater, _ := flate.NewWriter(&file, flate.DefaultCompression) // the level is valid
	if _, err := deflater.Write(body); err != nil {
		return nil, err
	}
	if err := deflater.Close(); err != nil {
		return nil, err
	}
	content := file.Bytes()
	binary.LittleEndian.PutUint64(content[lengthOffset:], uint64(len(content)-headerLen))
	return append(content, checksum(content, key)...), nil
}

// Decode decodes a snapshot in the file format. The error is ErrCorrupt, or wraps
// ErrNewerVersion or ErrWrongKey.
func Decode(file, key []byte) (*Snapshot, error) {
	if len(file) < headerLen+checksumLen || string(file[:len(magic)]) != magic {
		return nil, ErrCorrupt
	}
	version := file[versionOffset]
	if version > fileVersion {
		return nil, fmt.Errorf("%w: %d", ErrNewerVersion, version)
	}
	content, sum := file[:len(file)-checksumLen], file[len(file)-checksumLen:]
	if binary.LittleEndian.Uint64(file[lengthOffset:]) != uint64(len(content)-headerLen) || version != fileVersion {
		return nil, ErrCorrupt
	}
	if subtle.ConstantTimeCompare(checksum(content, key), sum) != 1 {
		keyed := file[keyedOffset] == 1
		if key != nil || keyed {
			return nil, fmt.Errorf("%w, or it is damaged", ErrWrongKey)
		}
		return nil, ErrCorrupt
	}
	inflater := flate.NewReader(bytes.NewReader(content[headerLen:]))
	body, err := io.ReadAll(io.LimitReader(inflater, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return nil, ErrCorrupt
	}
	snap := &Snapshot{}
	if err := wire.Unmarshal(body, snap); err != nil {
		return nil, ErrCorrupt
	}
	return snap, nil
}
