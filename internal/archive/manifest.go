package archive

import (
	"encoding/binary"
	"slices"
	"sort"
)

// manifest names the leaves of a shard, in the order of their numbers. Leaves that it does
// not name don't count.
type manifest struct {
	next   uint64 // name of the next leaf; names are never used twice
	leaves []leafRef
	filter filter
}

// leafRef refers to a leaf: it holds the numbers from its first one on, up to the next
// leaf. What lies before the first leaf belongs to that one too.
type leafRef struct {
	name  uint64
	count int
	first jobNumber
}

func (m *manifest) count() (jobs int) {
	for _, ref := range m.leaves {
		jobs += ref.count
	}
	return jobs
}

// leafOf returns the index of the only leaf that may hold a number.
func (m *manifest) leafOf(n jobNumber) int {
	after := sort.Search(len(m.leaves), func(i int) bool { return compareNumbers(m.leaves[i].first, n) > 0 })
	return max(0, after-1)
}

// encode returns the manifest as it is stored. The filter gets what room the leaves
// leave.
func (m *manifest) encode() string {
	body := binary.AppendUvarint(nil, m.next)
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
	m := &manifest{next: r.uvarint()}
	for left := r.count(); left > 0 && !r.damaged; left-- {
		m.leaves = append(m.leaves, leafRef{r.uvarint(), r.count(), r.jobNumber()})
	}
	m.filter = r.filter()
	inOrder := slices.IsSortedFunc(m.leaves, func(a, b leafRef) int { return compareNumbers(a.first, b.first) })
	if r.damaged || len(r.rest) > 0 || len(m.leaves) == 0 || !inOrder {
		return nil, ErrDamaged
	}
	return m, nil
}
