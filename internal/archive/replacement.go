package archive

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"dalefront/wire"
)

// leafReplacement replaces a leaf of a shard by one or more leaves that contain additional results. It also
// replaces the shard's manifest.
type leafReplacement struct {
	compactor *Compactor
	shard     int
	view      shardView   // the state of the shard that the replacement is based on
	leafIndex int         // index of the old leaf in the manifest; 0 if there are no leaves
	leaf      *leaf       // the results of the old leaf and the added results
	added     []jobNumber // job numbers of the added results
}

func (r *leafReplacement) oldLeafKey() string {
	return leafKey(r.shard, r.view.manifest.leaves[r.leafIndex].name)
}

// insert adds the results of end records to the leaf. It returns the keys of the end records that may be
// deleted once the leaf is stored. An end record whose result differs from the archived one is left
// unchanged.
func (r *leafReplacement) insert(ends []pendingEnd) (archivedKeys []string) {
	for _, end := range ends {
		key := r.compactor.source.EndPrefix + end.id()
		archived, ok := r.leaf.find(end.jobNumber)
		switch {
		case !ok:
			r.added = append(r.added, end.jobNumber)
			r.leaf.insert(end.jobNumber, end.result)
			archivedKeys = append(archivedKeys, key)
		case archived == end.result:
			archivedKeys = append(archivedKeys, key)
		default: // not expected; neither result is overwritten or deleted
			r.compactor.Counts.Differing++
		}
	}
	return archivedKeys
}

// store writes the new leaves and the new manifest. If the leaves or the manifest exceed the limits, store
// writes nothing, halves the batch size or marks the shard as full, and returns 0 mutations. The error is a
// *LimitsError if the batch size can't be halved.
func (r *leafReplacement) store(ctx context.Context) (mutations int, err error) {
	c := r.compactor
	parts, texts := r.leaf.split(c.limits.MaxValueBytes)
	if len(parts) > min(maxLeafParts, c.limits.MaxMutations-mutationsPerReplacement) {
		if c.batchSize == 1 {
			return 0, &LimitsError{c.limits.MaxMutations, c.limits.MaxValueBytes}
		}
		c.batchSize /= 2 // the compactor's next step tries again with fewer end records
		return 0, nil
	}
	next, txn := r.plan(parts, texts)
	text, err := r.encodeManifest(ctx, next)
	if errors.Is(err, errManifestFull) {
		c.fullShards[r.shard] = true
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	txn.Mutations = append(txn.Mutations, wire.Mutation{Put: manifestKey(r.shard), Value: text})
	c.Counts.Requests++
	response, err := c.reader.store.Txn(ctx, txn)
	if err != nil {
		return 0, c.resolveFailure(ctx, r.shard, err)
	}
	c.reader.cacheIfNewer(r.shard, shardView{response.Revision, next})
	c.Counts.Switches++
	return len(txn.Mutations), nil
}

// plan returns the new manifest without its filter, and the transaction that replaces the leaf. The
// transaction does not yet contain the mutation that writes the manifest.
func (r *leafReplacement) plan(parts []*leaf, texts []string) (next *manifest, txn wire.Txn) {
	old := r.view.manifest
	next = &manifest{nextLeafName: old.nextLeafName}
	txn.Conditions = []wire.Condition{r.compactor.source.TermCondition(), {Key: manifestKey(r.shard), Version: r.view.version}}
	var refs []leafRef
	for i, part := range parts {
		refs = append(refs, leafRef{next.nextLeafName, len(part.numbers), part.numbers[0]})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: leafKey(r.shard, next.nextLeafName), Value: texts[i]})
		next.nextLeafName++
	}
	if len(old.leaves) == 0 {
		next.leaves = refs
		return next, txn
	}
	txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: r.oldLeafKey()})
	next.leaves = slices.Concat(old.leaves[:r.leafIndex], refs, old.leaves[r.leafIndex+1:])
	return next, txn
}

// encodeManifest adds the filter to the new manifest and returns the encoded manifest. The error is
// errManifestFull if there is too little space for the filter or the encoded manifest is too long.
func (r *leafReplacement) encodeManifest(ctx context.Context, next *manifest) (text string, err error) {
	if next.filter, err = r.newFilter(ctx, next); err != nil {
		return "", err
	}
	text = next.encode()
	if len(text) > r.compactor.limits.MaxValueBytes {
		return "", errManifestFull
	}
	return text, nil
}

// newFilter returns the filter of the new manifest. The filter may use the space that the references to
// leaves leave free. If the filter has to be built from all job numbers, newFilter reads all leaves of
// the shard. A Bloom filter is rebuilt each time the number of jobs has doubled, if there is space for a
// larger one.
func (r *leafReplacement) newFilter(ctx context.Context, next *manifest) (filter, error) {
	c, old := r.compactor, r.view.manifest
	withoutFilter := manifest{nextLeafName: next.nextLeafName, leaves: next.leaves}
	// The filter is stored as base64, which encodes 3 bytes as 4 characters.
	maxFilterBytes := (c.limits.MaxValueBytes-len(withoutFilter.encode()))*3/4 - filterHeaderBytes
	if maxFilterBytes < c.limits.MaxValueBytes/8 {
		return filter{}, errManifestFull
	}
	if added, ok := old.filter.withAdded(r.added, next.count(), maxFilterBytes); ok {
		return added, nil
	}
	numbers := slices.Clone(r.leaf.numbers)
	for i, ref := range old.leaves {
		if i == r.leafIndex {
			continue
		}
		key := leafKey(r.shard, ref.name)
		c.Counts.Requests++
		other, found, err := c.reader.readLeaf(ctx, key)
		if err != nil {
			return filter{}, err
		}
		if !found {
			return filter{}, fmt.Errorf("%s: %w", key, errLeafNotFound)
		}
		numbers = append(numbers, other.numbers...)
	}
	return newBloom(numbers, maxFilterBytes), nil
}
