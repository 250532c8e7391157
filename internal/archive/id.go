// Package archive stores the final results of old jobs in a small number of keys of the
// state service. docs/snapshots.md describes the format, and why archiving never changes a
// result.
//
// Jobs are distributed over a fixed number of shards. A shard has one manifest, which names
// the shard's leaves and has a filter over the shard's jobs. A leaf holds the results of a range of
// ids. Leaves are immutable: one transaction, conditional on the manifest's version, writes
// the new leaves, deletes the old leaf and replaces the manifest. A transaction that may only
// succeed if a job has no result yet is also conditional on the manifest's version.
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
	Done   int    // number of completed tasks
}

// result is a record without its id.
type result struct {
	status string
	done   int // number of completed tasks
}

const (
	idPrefix         = "j-"
	maxIDDigits      = 32 // maximum number of digits in a job id, set by the protocol
	maxNumericDigits = 19 // maximum number of decimal digits whose value always fits into 64 bits
)

// jobNumber is a parsed job id. It holds the number of digits and their value. If there are more than
// maxNumericDigits, it holds their text instead of the value. Two ids with different numbers of digits
// are different jobs, even if their values are the same.
type jobNumber struct {
	digits int
	value  uint64
	text   string // the digits of the ID; empty if there are at most maxNumericDigits digits
}

func parseID(id string) (jobNumber, error) {
	if !wire.ValidID(id) {
		return jobNumber{}, &InvalidIDError{id}
	}
	digits := strings.TrimPrefix(id, idPrefix)
	if len(digits) > maxNumericDigits {
		return jobNumber{digits: len(digits), text: digits}, nil
	}
	value, err := strconv.ParseUint(digits, 10, 64)
	return jobNumber{digits: len(digits), value: value}, err
}

func (n jobNumber) id() string {
	if n.digits > maxNumericDigits {
		return idPrefix + n.text
	}
	return fmt.Sprintf("%s%0*d", idPrefix, n.digits, n.value)
}

// valid reports whether the number belongs to a valid job id.
func (n jobNumber) valid() bool {
	switch {
	case n.digits > maxNumericDigits:
		return n.value == 0 && len(n.text) == n.digits && wire.ValidID(idPrefix+n.text)
	case n.digits < 1 || n.text != "":
		return false
	case n.digits == maxNumericDigits:
		return n.value < 1e19
	}
	return n.value < powersOfTen[n.digits]
}

// powersOfTen holds 10^i at index i, the smallest value that needs more than i digits.
var powersOfTen = func() (powers [maxNumericDigits]uint64) {
	power := uint64(1)
	for i := range powers {
		powers[i] = power
		power *= 10
	}
	return powers
}()

// compareNumbers defines the order of job numbers in leaves and manifests.
func compareNumbers(a, b jobNumber) int {
	return cmp.Or(cmp.Compare(a.digits, b.digits), cmp.Compare(a.value, b.value), strings.Compare(a.text, b.text))
}

// filterKey returns the value that filters store for a job number. If the job number has a text, the value
// is a hash of the text. A match in a filter must therefore be verified against the text in the leaf.
func (n jobNumber) filterKey() uint64 {
	if n.digits > maxNumericDigits {
		return xxhash.Sum64String(n.text)
	}
	return n.value
}

const (
	// shardCount is the number of shards. It is part of the stored format.
	shardCount = 256
	// shardBlockBits is the binary logarithm of the number of consecutive ids in a block, all of which
	// belong to the same shard. It is part of the stored format.
	shardBlockBits = 16
)

// shard returns the shard of a job number. All numbers of a block of consecutive numbers belong to one
// shard, so that dense ids give dense bitmaps. Blocks are assigned to shards by hash.
func (n jobNumber) shard() int {
	block := n.value >> shardBlockBits
	if n.digits > maxNumericDigits {
		block = n.filterKey()
	}
	var hashed [9]byte
	hashed[0] = byte(n.digits)
	binary.LittleEndian.PutUint64(hashed[1:], block)
	return int(xxhash.Sum64(hashed[:]) % shardCount)
}

// Prefixes of keys in the state service.
const (
	ManifestPrefix = "a/m/"
	leafPrefix     = "a/l/"
)

func manifestKey(shard int) string { return fmt.Sprintf("%s%02x", ManifestPrefix, shard) }

func leafKey(shard int, name uint64) string { return fmt.Sprintf("%s%02x/%d", leafPrefix, shard, name) }

// shardOfKey returns the shard whose manifest is stored under a key. If the key is not a manifest's, ok is
// false.
func shardOfKey(key string) (shard int, ok bool) {
	text, ok := strings.CutPrefix(key, ManifestPrefix)
	if !ok || len(text) != 2 {
		return 0, false
	}
	value, err := strconv.ParseUint(text, 16, 8)
	return int(value), err == nil
}
