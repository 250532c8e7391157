// Package archive keeps the final results of old jobs in few keys of the state
// service. docs/snapshots.md says how, and why no result can change on the way.
//
// Jobs are spread over a fixed number of shards. A shard is one manifest, which names
// its leaves and carries a filter over its jobs; a leaf holds the results of a range
// of ids. A leaf is never changed: a new one takes its place when the manifest is
// replaced, in one transaction conditional on the manifest's version. Whatever
// depends on a job never having ended is conditional on that version too.
package archive

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dalefront/wire"
)

// Record is the final result of a job.
type Record struct {
	ID     string
	Status string // wire.JobDone or wire.JobCancelled
	Done   int    // tasks
}

// result is a record without its id.
type result struct {
	status string
	done   int // tasks
}

const (
	idPrefix    = "j-"
	maxIDDigits = 32 // of a job's id, the protocol's limit
	maxDigits   = 19 // the most decimal digits that always fit into 64 bits
)

// jobNumber is a job id taken apart: how many digits it has and, up to maxDigits of
// them, their value. Longer ones are kept as text. Ids with different numbers of digits
// differ although their values may be the same.
type jobNumber struct {
	digits int
	value  uint64
	text   string // of more than maxDigits digits only
}

func parseID(id string) (jobNumber, error) {
	if !wire.ValidID(id) {
		return jobNumber{}, &InvalidIDError{id}
	}
	digits := strings.TrimPrefix(id, idPrefix)
	if len(digits) > maxDigits {
		return jobNumber{digits: len(digits), text: digits}, nil
	}
	value, err := strconv.ParseUint(digits, 10, 64)
	return jobNumber{digits: len(digits), value: value}, err
}

func (n jobNumber) id() string {
	if n.digits > maxDigits {
		return idPrefix + n.text
	}
	return fmt.Sprintf("%s%0*d", idPrefix, n.digits, n.value)
}

// valid reports whether a number is that of some job id.
func (n jobNumber) valid() bool {
	switch {
	case n.digits > maxDigits:
		return n.value == 0 && len(n.text) == n.digits && wire.ValidID(idPrefix+n.text)
	case n.digits < 1 || n.text != "":
		return false
	case n.digits == maxDigits:
		return n.value < 1e19
	}
	return n.value < powersOfTen[n.digits]
}

// powersOfTen are, by the number of digits, one more than the largest value.
var powersOfTen = func() (powers [maxDigits]uint64) {
	power := uint64(1)
	for i := range powers {
		powers[i] = power
		power *= 10
	}
	return powers
}()

// compareNumbers orders numbers as leaves do.
func compareNumbers(a, b jobNumber) int {
	return cmp.Or(cmp.Compare(a.digits, b.digits), cmp.Compare(a.value, b.value), strings.Compare(a.text, b.text))
}

// filterKey returns the number as filters have it: of a long one only a hash, so that the
// text in the leaf decides.
func (n jobNumber) filterKey() uint64 {
	if n.digits > maxDigits {
		return xxhash.Sum64String(n.text)
	}
	return n.value
}

const (
	// shardCount is how many manifests there are. It is part of the stored format.
	shardCount = 256
	// shardBlockBits is the binary logarithm of the number of neighbouring ids that are in
	// the same shard. It is part of the stored format.
	shardBlockBits = 16
)

// shard returns the shard of a number. Neighbours stay together in blocks, so that dense
// ids make dense bitmaps; blocks are spread.
func (n jobNumber) shard() int {
	block := n.value >> shardBlockBits
	if n.digits > maxDigits {
		block = n.filterKey()
	}
	var hashed [9]byte
	hashed[0] = byte(n.digits)
	binary.LittleEndian.PutUint64(hashed[1:], block)
	return int(xxhash.Sum64(hashed[:]) % shardCount)
}

// Keys of the state service.
const (
	ManifestPrefix = "a/m/"
	leafPrefix     = "a/l/"
)

func manifestKey(shard int) string { return fmt.Sprintf("%s%02x", ManifestPrefix, shard) }

func leafKey(shard int, name uint64) string { return fmt.Sprintf("%s%02x/%d", leafPrefix, shard, name) }

// shardOfKey returns the shard whose manifest is stored under a key.
func shardOfKey(key string) (shard int, ok bool) {
	text, ok := strings.CutPrefix(key, ManifestPrefix)
	if !ok || len(text) != 2 {
		return 0, false
	}
	value, err := strconv.ParseUint(text, 16, 8)
	return int(value), err == nil
}
