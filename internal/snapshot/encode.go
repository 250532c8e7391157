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

// A file is a magic word, the version, whether it is keyed, the length and the bytes
// of the deflated body, and a BLAKE3 checksum over all of it, keyed if a key is set.
const (
	magic        = "dalefront snapshot\n"
	fileVersion  = 1
	versionAt    = len(magic)     // offset of the version
	keyedAt      = len(magic) + 1 // offset of 1 in a keyed file, of 0 in another
	lengthAt     = len(magic) + 2 // offset of the body's length, 8 bytes in little endian
	headerLen    = lengthAt + 8
	checksumLen  = 32
	keyLen       = 32
	maxBodyBytes = 4 << 30 // inflated
)

// keyContext separates keys of snapshot files from other uses of the same secret.
const keyContext = "dalefront 2026 snapshot files"

// DeriveKey turns an operator's secret of any length into a key.
func DeriveKey(secret []byte) []byte {
	if len(secret) == 0 {
		return nil
	}
	key := make([]byte, keyLen)
	blake3.DeriveKey(key, keyContext, secret)
	return key
}

// ReadKeyFile reads a secret, without the white space around it, and derives its key.
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

func checksum(content, key []byte) []byte {
	hash := blake3.New(checksumLen, key)
	_, _ = hash.Write(content) // never fails
	return hash.Sum(nil)
}

// Encode returns the snapshot as a file has it. The key is nil or of DeriveKey.
func (s *Snapshot) Encode(key []byte) ([]byte, error) {
	body, err := wire.Marshal(s)
	if err != nil {
		return nil, err
	}
	header := make([]byte, headerLen) // the length is filled in below
	copy(header, magic)
	header[versionAt] = fileVersion
	if key != nil {
		header[keyedAt] = 1
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
	binary.LittleEndian.PutUint64(content[lengthAt:], uint64(len(content)-headerLen))
	return append(content, checksum(content, key)...), nil
}

// Decode reads what Encode wrote. The error is ErrDamaged, ErrNewer or ErrWrongKey.
func Decode(file, key []byte) (*Snapshot, error) {
	if len(file) < headerLen+checksumLen || string(file[:len(magic)]) != magic {
		return nil, ErrDamaged
	}
	version := file[versionAt]
	if version > fileVersion {
		return nil, fmt.Errorf("%w: %d", ErrNewer, version)
	}
	content, sum := file[:len(file)-checksumLen], file[len(file)-checksumLen:]
	if binary.LittleEndian.Uint64(file[lengthAt:]) != uint64(len(content)-headerLen) || version != fileVersion {
		return nil, ErrDamaged
	}
	if subtle.ConstantTimeCompare(checksum(content, key), sum) != 1 {
		keyed := file[keyedAt] == 1
		if key != nil || keyed {
			return nil, fmt.Errorf("%w, or it is damaged", ErrWrongKey)
		}
		return nil, ErrDamaged
	}
	inflater := flate.NewReader(bytes.NewReader(content[headerLen:]))
	body, err := io.ReadAll(io.LimitReader(inflater, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return nil, ErrDamaged
	}
	snap := &Snapshot{}
	if err := wire.Unmarshal(body, snap); err != nil {
		return nil, ErrDamaged
	}
	return snap, nil
}
