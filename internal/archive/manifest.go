package archive

import (
	"encoding/binary"
	"slices"
	"sort"
)

// manifest lists the leaves of a shard in the order of their job numbers. A leaf that the manifest does
// not list is not part of the archive.
type manifest struct {
	nextLeafName uint64 // name of the next new leaf; names are never reused
	leaves       []leafRef
	filter       filter
}

// leafRef refers to a leaf. A leaf covers the job numbers from its own first number up to, but excluding,
// the first number of the following leaf. The first leaf of a shard also covers all smaller job numbers.
type leafRef struct {
	name  uint64
	count int // number of jobs in the leaf
	first jobNumber
}

func (m *manifest) count() (jobs int) {
	for _, ref := range m.leaves {
		jobs += ref.count
	}
	return jobs
}

// leafIndex returns the index of the only leaf that may contain a job number.
func (m *manifest) leafIndex(n jobNumber) int {
	after := sort.Search(len(m.leaves), func(i int) bool { return compareNumbers(m.leaves[i].first, n) > 0 })
	return max(0, after-1)
}

// encode returns the manifest in the stored format. The format contains references to the leaves, not the
// leaves themselves.
func (m *manifest) encode() string {
	body := binary.AppendUvarint(nil, m.nextLeafName)
	body = binary.AppendUvarint(body, uint64(len(m.leaves)))
	for _, ref := range m.leaves {
		body = binary.AppendUvarint(body, ref.name)
		body = binary.AppendUvarint(body, uint64(ref.count))
		body = appendNumber(body, ref.first)
	}
	return encodeValue(kindManifest, m.filter.append(body))
}

func decodeManifest(text string) (*manifest, error) {
	body, err := decodeValue(kindManifest, text)
	if err != nil {
		return nil, err
	}
	r := &bodyReader{rest: body}
	m := &manifest{nextLeafName: r.uvarint()}
	for left := r.count(); left > 0 && !r.corrupt; left-- {
		m.leaves = append(m.leaves, leafRef{r.uvarint(), r.count(), r.jobNumber()})
	}
	m.filter = r.filter()
	inOrder := slices.IsSortedFunc(m.leaves, func(a, b leafRef) int { return compareNumbers(a.first, b.first) })
	if r.corrupt || len(r.rest) > 0 || len(m.leaves) == 0 || !inOrder {
		return nil, ErrCorrupt
	}
	return m, nil
}
