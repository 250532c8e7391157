package sched

import "cmp"

// startOption is a machine on which tasks of a gang can start, with the machine's offer.
type startOption struct {
	*gangOffer
	machine *machine
	index   int    // index of the machine in pass.schedulable
	cost    Micros // total cost for the gang, placement cost included
}

// compareOptions orders options with a wait of at most maxGangWait by cost. Options with a longer wait
// follow, ordered by wait, because a single late machine delays the whole gang.
func compareOptions(a, b *startOption) int {
	order := cmp.Compare(a.cost, b.cost)
	if a.wait > maxGangWait || b.wait > maxGangWait {
		order = cmp.Compare(a.wait, b.wait)
	}
	return cmp.Or(order, cmp.Compare(a.index, b.index))
}

// bestOptions collects the best of many options, at most as many as its limit. It is a heap with the worst
// option on top. It doesn't use container/heap, whose interface values cost too much here, since an option is
// added for each machine and gang.
type bestOptions struct {
	limit   int
	options []startOption
}

// add keeps an option if it is among the best so far.
func (bo *bestOptions) add(option startOption) {
	if len(bo.options) < bo.limit {
		bo.options = append(bo.options, option)
		bo.siftUp()
		return
	}
	if compareOptions(&option, &bo.options[0]) < 0 {
		bo.options[0] = option
		bo.siftDown()
	}
}

// siftUp moves the last option of the heap up to its position.
func (bo *bestOptions) siftUp() {
	options := bo.options
	for i := len(options) - 1; i > 0; {
		parent := (i - 1) / 2
		if compareOptions(&options[i], &options[parent]) <= 0 {
			return
		}
		options[i], options[parent] = options[parent], options[i]
		i = parent
	}
}

// siftDown moves the option on top of the heap down to its position.
func (bo *bestOptions) siftDown() {
	options := bo.options
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(options) {
			return
		}
		if child+1 < len(options) && compareOptions(&options[child+1], &options[child]) > 0 {
			child++
		}
		if compareOptions(&options[child], &options[i]) <= 0 {
			return
		}
		options[i], options[child] = options[child], options[i]
		i = child
	}
}
