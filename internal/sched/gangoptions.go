package sched

import "cmp"

// startOption is how a machine can come to have room for tasks of a gang.
type startOption struct {
	*gangOffer
	machine *machine
	index   int // of the machine among the schedulable ones
	cost    Micros
}

// compareOptions puts first what is there at once, or can be cleared, before what has to be
// waited for: one late machine makes all the others wait.
func compareOptions(a, b *startOption) int {
	order := cmp.Compare(a.cost, b.cost)
	if a.wait > worthWaiting || b.wait > worthWaiting {
		order = cmp.Compare(a.wait, b.wait)
	}
	return cmp.Or(order, cmp.Compare(a.index, b.index))
}

// bestOptions collects the first few of many options. It is a heap with the last of them on top, and
// does without container/heap's interface values: each gang adds an option for each machine.
type bestOptions struct {
	limit   int
	options []startOption
}

// add takes an option if it is among the first.
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

// siftUp moves the option that was added to its place in the heap.
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

// siftDown moves the option on top to its place in the heap.
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
