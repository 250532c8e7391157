package archive

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/RoaringBitmap/roaring/v2/roaring64"
	"github.com/bits-and-blooms/bloom/v3"
)

// filter tells of most numbers that are not in a shard that they are not. Of dense
// ids it is an exact bitmap; of scattered ones, where that would be longer, a Bloom
// filter.
type filter struct {
	exact    map[int]*roaring64.Bitmap // by the number of digits
	bloom    *bloom.BloomFilter        // instead of it
	capacity int                       // numbers that the Bloom filter is made for
}

const (
	bitsPerJob = 10 // of a Bloom filter: one false positive in a hundred
	hashes     = 7
	wordBits   = 64

	// maxExactOverhead is how many bytes an exact filter may have more than a new Bloom
	// filter, which has room for twice as many numbers.
	maxExactOverhead = 64
)

// Kinds of filters as they are stored.
const (
	filterBloom = 'b'
	filterExact = 'r'
)

// bloomKey returns what a Bloom filter hashes of a number.
func (n jobNumber) bloomKey() []byte {
	return binary.LittleEndian.AppendUint64([]byte{byte(n.digits)}, n.filterKey())
}

// mayContain reports whether a number may be in the shard.
func (f *filter) mayContain(n jobNumber) bool {
	if f.bloom != nil {
		return f.bloom.Test(n.bloomKey())
	}
	bitmap := f.exact[n.digits]
	return bitmap != nil && bitmap.Contains(n.filterKey())
}

// withAdded returns a filter that has more numbers, which are total then and may take
// maxBytes; or false if it has to be made from all numbers. The old one is not changed:
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
	if size <= min(maxBytes, maxExactOverhead+2*total*bitsPerJob/8) {
		return added, true
	}
	return filter{}, false
}

// withAddedToBloom is withAdded of a Bloom filter. It has to be made anew when it is full
// and could be larger.
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

// newBloom returns a Bloom filter with room for all numbers of a shard and as many more, as
// far as maxBytes allow; with less room it has more false positives.
func newBloom(numbers []jobNumber, maxBytes int) filter {
	bits := min(2*len(numbers)*bitsPerJob, 8*maxBytes)
	words := max(1, bits/wordBits)
	f := filter{
		bloom:    bloom.FromWithM(make([]uint64, words), uint(words*wordBits), hashes),
		capacity: words * wordBits / bitsPerJob,
	}
	for _, n := range numbers {
		f.bloom.Add(n.bloomKey())
	}
	return f
}

// append appends the filter as it is stored.
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
		packed, _ := f.exact[digits].ToBytes() // a buffer takes everything
		body = binary.AppendUvarint(body, uint64(digits))
		body = binary.AppendUvarint(body, uint64(len(packed)))
		body = append(body, packed...)
	}
	return body
}

// filter reads what filter.append has written.
func (r *bodyReader) filter() filter {
	kind := r.bytes(1)
	if r.damaged {
		return filter{}
	}
	if kind[0] == filterBloom {
		return r.bloomFilter()
	}
	exact := map[int]*roaring64.Bitmap{}
	for left := r.count(); left > 0 && !r.damaged; left-- {
		digits := int(r.uvarint())
		exact[digits] = r.bitmap()
	}
	r.damaged = r.damaged || kind[0] != filterExact
	return filter{exact: exact}
}

func (r *bodyReader) bloomFilter() filter {
	capacity := r.count()
	raw := r.bytes(wordBits / 8 * uint64(r.count()))
	if len(raw) == 0 {
		r.damaged = true
		return filter{}
	}
	words := make([]uint64, len(raw)/8)
	for i := range words {
		words[i] = binary.LittleEndian.Uint64(raw[8*i:])
	}
	return filter{bloom: bloom.FromWithM(words, uint(wordBits*len(words)), hashes), capacity: capacity}
}
