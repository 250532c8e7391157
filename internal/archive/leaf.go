package archive

import (
	"encoding/binary"
	"slices"

	"github.com/RoaringBitmap/roaring/v2/roaring64"

	"dalefront/wire"
)

// maxLeafJobs is the maximum number of jobs in a leaf. It limits the time that a lookup takes to decode
// the leaf.
const maxLeafJobs = 1 << 14

// leaf is a decoded leaf. It holds the numbers of its jobs in ascending order, and a result for each job.
type leaf struct {
	numbers []jobNumber
	results []result
}

// Encodings of a group. A group consists of the job numbers with the same number of digits. If the job
// numbers fit into 64 bits, encodingBitmap or encodingDeltas is used, whichever gives the shorter group.
const (
	encodingBitmap = iota // Roaring bitmap, for dense ids and runs of consecutive ids
	encodingDeltas        // differences between successive numbers, for scattered ids
	encodingText          // text of the digits, for job numbers with more than maxNumericDigits digits
)

// encode returns the leaf in the stored format. The format consists of the groups of job numbers, an end
// mark, a dictionary of the distinct results, and for each job number the index of its result in the
// dictionary.
func (l *leaf) encode() string {
	var body []byte
	for first := 0; first < len(l.numbers); {
		digits, end := l.numbers[first].digits, first
		for end < len(l.numbers) && l.numbers[end].digits == digits {
			end++
		}
		body = binary.AppendUvarint(body, uint64(digits))
		body = appendGroup(body, l.numbers[first:end])
		first = end
	}
	body = binary.AppendUvarint(body, 0)
	return encodeValue(kindLeaf, appendResults(body, l.results))
}

func appendResults(body []byte, results []result) []byte {
	indices := map[result]int{}
	var dictionary, encoded []byte
	for _, r := range results {
		index, ok := indices[r]
		if !ok {
			index = len(indices)
			indices[r] = index
			cancelled := uint64(0)
			if r.status == wire.JobCancelled {
				cancelled = 1
			}
			dictionary = binary.AppendUvarint(dictionary, cancelled)
			dictionary = binary.AppendUvarint(dictionary, uint64(r.done))
		}
		encoded = binary.AppendUvarint(encoded, uint64(index))
	}
	body = binary.AppendUvarint(body, uint64(len(indices)))
	body = append(body, dictionary...)
	return append(body, encoded...)
}

// appendGroup appends a group, that is job numbers that all have the same number of digits.
func appendGroup(body []byte, numbers []jobNumber) []byte {
	body = binary.AppendUvarint(body, uint64(len(numbers)))
	if numbers[0].digits > maxNumericDigits {
		body = append(body, encodingText)
		for _, n := range numbers {
			body = append(body, n.text...)
		}
		return body
	}
	var deltas []byte
	bitmap, last := roaring64.New(), uint64(0)
	for _, n := range numbers {
		deltas = binary.AppendUvarint(deltas, n.value-last)
		bitmap.Add(n.value)
		last = n.value
	}
	bitmap.RunOptimize()
	if packed, err := bitmap.ToBytes(); err == nil && len(packed) < len(deltas) {
		body = append(body, encodingBitmap)
		body = binary.AppendUvarint(body, uint64(len(packed)))
		return append(body, packed...)
	}
	body = append(body, encodingDeltas)
	return append(body, deltas...)
}

func decodeLeaf(text string) (*leaf, error) {
	body, err := decodeValue(kindLeaf, text)
	if err != nil {
		return nil, err
	}
	r := &bodyReader{rest: body}
	l := &leaf{numbers: r.numbers()}
	dictionary := r.dictionary()
	if len(l.numbers) > len(r.rest) { // each index takes at least one byte
		return nil, ErrCorrupt
	}
	l.results = make([]result, len(l.numbers))
	for i := range l.results {
		index := r.uvarint()
		if index >= uint64(len(dictionary)) {
			return nil, ErrCorrupt
		}
		l.results[i] = dictionary[index]
	}
	if r.corrupt || len(r.rest) > 0 || !validNumbers(l.numbers) {
		return nil, ErrCorrupt
	}
	return l, nil
}

// validNumbers reports whether the numbers are strictly ascending and belong to valid job ids.
func validNumbers(numbers []jobNumber) bool {
	for i, n := range numbers {
		if i > 0 && compareNumbers(numbers[i-1], n) >= 0 || !n.valid() {
			return false
		}
	}
	return true
}

// numbers reads the groups of a leaf, up to the end mark.
func (r *bodyReader) numbers() (numbers []jobNumber) {
	for !r.corrupt {
		digits := int(r.uvarint())
		if digits == 0 {
			break
		}
		numbers = append(numbers, r.group(digits)...)
		r.corrupt = r.corrupt || len(numbers) > maxLeafJobs
	}
	return numbers
}

// group decodes what appendGroup encoded.
func (r *bodyReader) group(digits int) (numbers []jobNumber) {
	count := r.count()
	kind := r.bytes(1)
	if r.corrupt || count > maxLeafJobs {
		r.corrupt = true
		return nil
	}
	switch kind[0] {
	case encodingText:
		for i := 0; i < count && !r.corrupt; i++ {
			numbers = append(numbers, jobNumber{digits: digits, text: string(r.bytes(uint64(digits)))})
		}
	case encodingDeltas:
		for value := uint64(0); len(numbers) < count && !r.corrupt; {
			value += r.uvarint()
			numbers = append(numbers, jobNumber{digits: digits, value: value})
		}
	case encodingBitmap:
		bitmap := r.bitmap()
		if bitmap.GetCardinality() != uint64(count) {
			r.corrupt = true
			return nil
		}
		numbers = make([]jobNumber, 0, count)
		for values := bitmap.Iterator(); values.HasNext(); {
			numbers = append(numbers, jobNumber{digits: digits, value: values.Next()})
		}
	default:
		r.corrupt = true
	}
	return numbers
}

// dictionary reads the distinct results of a leaf.
func (r *bodyReader) dictionary() []result {
	count := r.count()
	dictionary := make([]result, min(count, len(r.rest)))
	for i := range dictionary {
		dictionary[i].status = wire.JobDone
		if r.uvarint() == 1 {
			dictionary[i].status = wire.JobCancelled
		}
		dictionary[i].done = int(r.uvarint())
	}
	return dictionary
}

// find returns the result of a job.
func (l *leaf) find(n jobNumber) (result, bool) {
	i, ok := slices.BinarySearchFunc(l.numbers, n, compareNumbers)
	if !ok {
		return result{}, false
	}
	return l.results[i], true
}

// insert adds the result of a job, unless the leaf already has one.
func (l *leaf) insert(n jobNumber, r result) {
	i, ok := slices.BinarySearchFunc(l.numbers, n, compareNumbers)
	if !ok {
		l.numbers = slices.Insert(l.numbers, i, n)
		l.results = slices.Insert(l.results, i, r)
	}
}

// split divides a leaf into the smallest number of about equal parts that are all within the limits of
// maxLeafJobs jobs and maxBytes of encoded text. A part with a single job may exceed maxBytes. split
// returns the parts and their encoded texts.
func (l *leaf) split(maxBytes int) (parts []*leaf, texts []string) {
	for count := 1; ; count++ {
		parts, texts = nil, nil
		for i := range count {
			from, to := i*len(l.numbers)/count, (i+1)*len(l.numbers)/count
			part := &leaf{l.numbers[from:to], l.results[from:to]}
			text := part.encode()
			if (len(text) > maxBytes || to-from > maxLeafJobs) && to-from > 1 {
				break
			}
			parts, texts = append(parts, part), append(texts, text)
		}
		if len(parts) == count {
			return parts, texts
		}
	}
}
