package archive

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/RoaringBitmap/roaring/v2/roaring64"
	"github.com/bits-and-blooms/bloom/v3"
)

// filter excludes most job numbers that are not in a shard, so that looking up such a job reads no leaf.
// Dense ids use exact bitmaps. Scattered ids use a Bloom filter, since their bitmaps would be larger.
type filter struct {
	exact    map[int]*roaring64.Bitmap // a bitmap for each number of digits; nil if bloom is set
	bloom    *bloom.BloomFilter        // nil if the filter is exact
	capacity int                       // number of jobs that the Bloom filter is sized for; 0 if the filter is exact
}

const (
	bloomBitsPerJob = 10 // gives a false positive rate of about 1 %
	bloomHashes     = 7
	bloomWordBits   = 64

	// maxExactOverhead is the number of bytes by which an exact filter may be larger than a new Bloom
	// filter for the same job numbers. A new Bloom filter is sized for twice as many job numbers.
	maxExactOverhead = 64
)

// Kinds of filters in the stored format.
const (
	filterBloom = 'b'
	filterExact = 'r'
)

// bloomKey returns the bytes that represent a number in a Bloom filter.
func (n jobNumber) bloomKey() []byte {
	return binary.LittleEndian.AppendUint64([]byte{byte(n.digits)}, n.filterKey())
}

// mayContain reports whether a job number may be in the shard. False positives are possible.
func (f *filter) mayContain(n jobNumber) bool {
	if f.bloom != nil {
		return f.bloom.Test(n.bloomKey())
	}
	bitmap := f.exact[n.digits]
	return bitmap != nil && bitmap.Contains(n.filterKey())
}

// withAdded returns a copy of the filter with the given job numbers added. The parameter total is the
// number of jobs in the shard after the addition, and maxBytes is the space for the filter. If a new filter
// has to be built from all job numbers, withAdded returns false. The old filter is not changed, since
// readers may be using it.
func (f *filter) withAdded(numbers []jobNumber, total, maxBytes int) (filter, bool) {
	if f.bloom != nil {
		return f.withAddedToBloom(numbers, total, maxBytes)
	}
	added := filter{exact: map[int]*roaring64.Bitmap{}}
	for digits, bitmap := range f.exact {
		added.exact[digits] = bitmap.Clone()
	}
	for _, n := range numbers {
		if added.exact[n.digits] == nil {
			added.exact[n.digits] = roaring64.New()
		}
		added.exact[n.digits].Add(n.filterKey())
	}
	size := 0
	for _, bitmap := range added.exact {
		bitmap.RunOptimize()
		size += int(bitmap.GetSerializedSizeInBytes())
	}
	if size <= min(maxBytes, maxExactOverhead+2*total*bloomBitsPerJob/8) {
		return added, true
	}
	return filter{}, false
}

// withAddedToBloom implements withAdded for a Bloom filter. It returns false if the filter's capacity is
// exceeded and maxBytes leaves enough space for a larger filter.
func (f *filter) withAddedToBloom(numbers []jobNumber, total, maxBytes int) (filter, bool) {
	if total > f.capacity && 8*maxBytes > int(f.bloom.Cap())*5/4 {
		return filter{}, false
	}
	added := f.bloom.Copy()
	for _, n := range numbers {
		added.Add(n.bloomKey())
	}
	return filter{bloom: added, capacity: f.capacity}, true
}

// newBloom returns a Bloom filter over all job numbers of a shard. The filter is sized for twice as many
// numbers, but has at most maxBytes. A smaller filter has a higher rate of false positives.
func newBloom(numbers []jobNumber, maxBytes int) filter {
	bits := min(2*len(numbers)*bloomBitsPerJob, 8*maxBytes)
	words := max(1, bits/bloomWordBits)
	f := filter{
		bloom:    bloom.FromWithM(make([]uint64, words), uint(words*bloomWordBits), bloomHashes),
		capacity: words * bloomWordBits / bloomBitsPerJob,
	}
	for _, n := range numbers {
		f.bloom.Add(n.bloomKey())
	}
	return f
}

// append appends the filter in the stored format.
func (f *filter) append(body []byte) []byte {
	if f.bloom != nil {
		words := f.bloom.BitSet().Words()
		body = binary.AppendUvarint(append(body, filterBloom), uint64(f.capacity))
		body = binary.AppendUvarint(body, uint64(len(words)))
		for _, word := range words {
			body = binary.LittleEndian.AppendUint64(body, word)
		}
		return body
	}
	body = binary.AppendUvarint(append(body, filterExact), uint64(len(f.exact)))
	for _, digits := range slices.Sorted(maps.Keys(f.exact)) {
		packed, _ := f.exact[digits].ToBytes() // never fails, since it writes to memory
		body = binary.AppendUvarint(body, uint64(digits))
		body = binary.AppendUvarint(body, uint64(len(packed)))
		body = append(body, packed...)
	}
	return body
}

// filter decodes what filter.append encoded.
func (r *bodyReader) filter() filter {
	kind := r.bytes(1)
	if r.corrupt {
		return filter{}
	}
	if kind[0] == filterBloom {
		return r.bloomFilter()
	}
	exact := map[int]*roaring64.Bitmap{}
	for left := r.count(); left > 0 && !r.corrupt; left-- {
		digits := int(r.uvarint())
		exact[digits] = r.bitmap()
	}
	r.corrupt = r.corrupt || kind[0] != filterExact
	return filter{exact: exact}
}

func (r *bodyReader) bloomFilter() filter {
	capacity := r.count()
	raw := r.bytes(bloomWordBits / 8 * uint64(r.count()))
	if len(raw) == 0 {
		r.corrupt = true
		return filter{}
	}
	words := make([]uint64, len(raw)/8)
	for i := range words {
		words[i] = binary.LittleEndian.Uint64(raw[8*i:])
	}
	return filter{bloom: bloom.FromWithM(words, uint(bloomWordBits*len(words)), bloomHashes), capacity: capacity}
}
