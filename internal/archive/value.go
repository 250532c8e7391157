package archive

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/binary"
	"io"

	"github.com/RoaringBitmap/roaring/v2/roaring64"
	"github.com/cespare/xxhash/v2"
)

// Values are text, since the state service takes no binary data: a kind, the
// version, the deflated body and a checksum over all of it, in base64.
const (
	kindManifest  = 'm'
	kindLeaf      = 'l'
	formatVersion = 1
	headerLen     = 2       // kind and version
	checksumLen   = 8       // xxhash, little endian
	maxBodyBytes  = 1 << 20 // inflated
)

var encoding = base64.RawStdEncoding.Strict()

// encodeValue returns the text of a value with a body.
func encodeValue(kind byte, body []byte) string {
	var value bytes.Buffer
	value.Write([]byte{kind, formatVersion})
	deflater, _ := flate.NewWriter(&value, flate.BestCompression) // the level is valid
	_, _ = deflater.Write(body)                                   // a buffer takes everything
	_ = deflater.Close()
	sum := xxhash.Sum64(value.Bytes())
	return encoding.EncodeToString(binary.LittleEndian.AppendUint64(value.Bytes(), sum))
}

// decodeValue returns the body of a value. The error is ErrDamaged or a *NewerVersionError.
func decodeValue(kind byte, text string) ([]byte, error) {
	value, err := encoding.DecodeString(text)
	if err != nil || len(value) < headerLen+checksumLen {
		return nil, ErrDamaged
	}
	content, sum := value[:len(value)-checksumLen], binary.LittleEndian.Uint64(value[len(value)-checksumLen:])
	if xxhash.Sum64(content) != sum || content[0] != kind {
		return nil, ErrDamaged
	}
	if version := content[1]; version > formatVersion {
		return nil, &NewerVersionError{version}
	}
	inflater := flate.NewReader(bytes.NewReader(content[headerLen:]))
	body, err := io.ReadAll(io.LimitReader(inflater, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return nil, ErrDamaged
	}
	return body, nil
}

// bodyReader reads a body. After the first mistake damaged is set, and all that follows is
// read as zero.
type bodyReader struct {
	rest    []byte
	damaged bool
}

func (r *bodyReader) fail() { r.damaged, r.rest = true, nil }

func (r *bodyReader) uvarint() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

func (r *bodyReader) bytes(n uint64) []byte {
	if n > uint64(len(r.rest)) {
		r.fail()
		return nil
	}
	read := r.rest[:n]
	r.rest = r.rest[n:]
	return read
}

// count reads how many things follow, each of at least a byte or a bit of one.
func (r *bodyReader) count() int {
	count := r.uvarint()
	if count > maxBodyBytes {
		r.damaged = true
		return 0
	}
	return int(count)
}

// jobNumber reads what appendNumber has written.
func (r *bodyReader) jobNumber() jobNumber {
	n := jobNumber{digits: int(r.uvarint())}
	switch {
	case n.digits < 1 || n.digits > maxIDDigits:
		r.damaged = true
	case n.digits > maxDigits:
		n.text = string(r.bytes(uint64(n.digits)))
	default:
		n.value = r.uvarint()
	}
	return n
}

func appendNumber(body []byte, n jobNumber) []byte {
	body = binary.AppendUvarint(body, uint64(n.digits))
	if n.digits > maxDigits {
		return append(body, n.text...)
	}
	return binary.AppendUvarint(body, n.value)
}

// bitmap reads a bitmap; a damaged one is empty. The library trusts the lengths that it
// reads, and panics or allocates any amount of memory where they are wrong.
func (r *bodyReader) bitmap() (bitmap *roaring64.Bitmap) {
	raw := r.bytes(r.uvarint())
	defer func() {
		if recover() != nil {
			r.damaged, bitmap = true, roaring64.New()
		}
	}()
	bitmap = roaring64.New()
	if len(raw) < 8 || binary.LittleEndian.Uint64(raw) > uint64(len(raw)/8) ||
		bitmap.UnmarshalBinary(raw) != nil || bitmap.Validate() != nil {
		r.damaged = true
		return roaring64.New()
	}
	return bitmap
}
