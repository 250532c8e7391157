package archive

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"dalefront/wire"
)

// leafReplacement replaces a leaf of a shard by one or more that have more results, and the
// manifest that names them.
type leafReplacement struct {
	compactor *Compactor
	shard     int
	view      shardView // from which the replacement is made
	index     int       // of the old leaf in the manifest; without leaves 0
	leaf      *leaf     // the old leaf's results and the new ones
	added     []jobNumber
}

func (r *leafReplacement) oldLeafKey() string {
	return leafKey(r.shard, r.view.manifest.leaves[r.index].name)
}

// insert adds the results of ends to the leaf. It returns the keys of those ends that the
// archive has then; one that differs from the archive is left alone.
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
		default: // never seen; nothing is overwritten or deleted
			r.compactor.Counts.Differing++
		}
	}
	return archivedKeys
}

// store stores the new leaves and the manifest that names them. It returns 0 mutations if
// they don't fit: then the batch is halved, or the shard marked as full.
func (r *leafReplacement) store(ctx context.Context) (mutations int, err error) {
	c := r.compactor
	parts, texts := r.leaf.split(c.limits.MaxValueBytes)
	if len(parts) > min(maxLeafParts, c.limits.MaxMutations-mutationsPerReplacement) {
		if c.batchSize == 1 {
			return 0, &LimitsError{c.limits.MaxMutations, c.limits.MaxValueBytes}
		}
		c.batchSize /= 2 // tried again with less
		return 0, nil
	}
	next, txn := r.plan(parts, texts)
	text, err := r.encodeManifest(ctx, next)
	if errors.Is(err, errManifestFull) {
		c.full[r.shard] = true
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
	c.reader.setNewer(r.shard, shardView{response.Revision, next})
	c.Counts.Switches++
	return len(txn.Mutations), nil
}

// plan returns the next manifest, without its filter, and the transaction that replaces the
// leaf, without the manifest.
func (r *leafReplacement) plan(parts []*leaf, texts []string) (next *manifest, txn wire.Txn) {
	old := r.view.manifest
	next = &manifest{next: old.next}
	txn.Conditions = []wire.Condition{r.compactor.source.Term(), {Key: manifestKey(r.shard), Version: r.view.version}}
	var refs []leafRef
	for i, part := range parts {
		refs = append(refs, leafRef{next.next, len(part.numbers), part.numbers[0]})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: leafKey(r.shard, next.next), Value: texts[i]})
		next.next++
	}
	if len(old.leaves) == 0 {
		next.leaves = refs
		return next, txn
	}
	txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: r.oldLeafKey()})
	next.leaves = slices.Concat(old.leaves[:r.index], refs, old.leaves[r.index+1:])
	return next, txn
}

// encodeManifest completes the next manifest with its filter and returns its text. The error
// is errManifestFull if that is too long.
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

// newFilter returns the filter of the next manifest. When it has to be made from all
// numbers, all leaves are read: that happens each time their number has doubled.
func (r *leafReplacement) newFilter(ctx context.Context, next *manifest) (filter, error) {
	c, old := r.compactor, r.view.manifest
	withoutFilter := manifest{next: next.next, leaves: next.leaves}
	room := (c.limits.MaxValueBytes-len(withoutFilter.encode()))*3/4 - filterHeaderBytes // base64 has 4 bytes for 3
	if room < c.limits.MaxValueBytes/8 {
		return filter{}, errManifestFull
	}
	if added, ok := old.filter.withAdded(r.added, next.count(), room); ok {
		return added, nil
	}
	numbers := slices.Clone(r.leaf.numbers)
	for i, ref := range old.leaves {
		if i == r.index {
			continue
		}
		key := leafKey(r.shard, ref.name)
		c.Counts.Requests++
		other, found, err := c.reader.readLeaf(ctx, key)
		if err != nil {
			return filter{}, err
		}
		if !found {
			return filter{}, fmt.Errorf("%s: %w", key, errMissingLeaf)
		}
		numbers = append(numbers, other.numbers...)
	}
	return newBloom(numbers, room), nil
}
