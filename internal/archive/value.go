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

// A stored value is the base64 encoding of its kind, the format version, the deflated body and a checksum
// over these three. It is text because the state service does not accept binary data.
const (
	kindManifest  = 'm'
	kindLeaf      = 'l'
	formatVersion = 1
	headerLen     = 2       // bytes, kind and version
	checksumLen   = 8       // bytes, xxhash, little endian
	maxBodyBytes  = 1 << 20 // bytes of the inflated body
)

var base64Encoding = base64.RawStdEncoding.Strict()

// encodeValue returns the stored text of a body.
func encodeValue(kind byte, body []byte) string {
	var value bytes.Buffer
	value.Write([]byte{kind, formatVersion})
	deflater, _ := flate.NewWriter(&value, flate.BestCompression) // the level is valid
	_, _ = deflater.Write(body)                                   // writing to a buffer never fails
	_ = deflater.Close()
	sum := xxhash.Sum64(value.Bytes())
	return base64Encoding.EncodeToString(binary.LittleEndian.AppendUint64(value.Bytes(), sum))
}

// decodeValue returns the body of a stored text. The error is ErrCorrupt or a *NewerVersionError.
func decodeValue(kind byte, text string) ([]byte, error) {
	value, err := base64Encoding.DecodeString(text)
	if err != nil || len(value) < headerLen+checksumLen {
		return nil, ErrCorrupt
	}
	content, sum := value[:len(value)-checksumLen], binary.LittleEndian.Uint64(value[len(value)-checksumLen:])
	if xxhash.Sum64(content) != sum || content[0] != kind {
		return nil, ErrCorrupt
	}
	if version := content[1]; version > formatVersion {
		return nil, &NewerVersionError{version}
	}
	inflater := flate.NewReader(bytes.NewReader(content[headerLen:]))
	body, err := io.ReadAll(io.LimitReader(inflater, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return nil, ErrCorrupt
	}
	return body, nil
}

// bodyReader decodes a body. The first error sets the field corrupt. After an error, the values that the
// methods return must not be used.
type bodyReader struct {
	rest    []byte
	corrupt bool
}

func (r *bodyReader) fail() { r.corrupt, r.rest = true, nil }

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

// count reads a number of elements, each of which takes at least one byte or one bit. A number above
// maxBodyBytes is treated as corrupt.
func (r *bodyReader) count() int {
	count := r.uvarint()
	if count > maxBodyBytes {
		r.corrupt = true
		return 0
	}
	return int(count)
}

// jobNumber decodes what appendNumber encoded.
func (r *bodyReader) jobNumber() jobNumber {
	n := jobNumber{digits: int(r.uvarint())}
	switch {
	case n.digits < 1 || n.digits > maxIDDigits:
		r.corrupt = true
	case n.digits > maxNumericDigits:
		n.text = string(r.bytes(uint64(n.digits)))
	default:
		n.value = r.uvarint()
	}
	return n
}

func appendNumber(body []byte, n jobNumber) []byte {
	body = binary.AppendUvarint(body, uint64(n.digits))
	if n.digits > maxNumericDigits {
		return append(body, n.text...)
	}
	return binary.AppendUvarint(body, n.value)
}

// bitmap reads a bitmap. It returns an empty bitmap if the data is corrupt. The bitmap library does not
// check the lengths that it reads: wrong lengths make it panic or allocate any amount of memory.
func (r *bodyReader) bitmap() (bitmap *roaring64.Bitmap) {
	raw := r.bytes(r.uvarint())
	defer func() {
		if recover() != nil {
			r.corrupt, bitmap = true, roaring64.New()
		}
	}()
	bitmap = roaring64.New()
	if len(raw) < 8 || binary.LittleEndian.Uint64(raw) > uint64(len(raw)/8) ||
		bitmap.UnmarshalBinary(raw) != nil || bitmap.Validate() != nil {
		r.corrupt = true
		return roaring64.New()
	}
	return bitmap
}
