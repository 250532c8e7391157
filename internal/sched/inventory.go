package sched

import (
	"cmp"
	"slices"
)

const (
	// maxPeerContacts is how many machines that are not yet known peers may have heard of.
	maxPeerContacts = 100_000
	// returnedMemory is how long a returned machine's name is remembered, in which lists and
	// heartbeats of before its return may come late.
	returnedMemory = 600 * second
)

// inventory is the machines of the site: those known, those returned, and what peers say of some
// that are not known yet.
//
// Invariants: byHost and sorted hold the same machines; none of them is in peerContacts.
type inventory struct {
	byHost       map[string]*machine
	sorted       []*machine        // by name
	returned     map[string]Micros // machines whose return was confirmed, and when
	peerContacts map[string]Micros // when other controllers heard from machines that are not known here
}

func newInventory() inventory {
	return inventory{byHost: map[string]*machine{}, returned: map[string]Micros{}, peerContacts: map[string]Micros{}}
}

// find returns a known machine, or nil.
func (inv *inventory) find(host string) *machine { return inv.byHost[host] }

// all returns the known machines by name. The caller must not change the list, and must clone it
// to add or drop machines meanwhile.
func (inv *inventory) all() []*machine { return inv.sorted }

// count is the number of known machines.
func (inv *inventory) count() int { return len(inv.sorted) }

// add takes a machine that is not known yet, with what peers said of it.
func (inv *inventory) add(m *machine) {
	m.lastPeerContact = inv.peerContacts[m.host]
	delete(inv.peerContacts, m.host)
	inv.byHost[m.host] = m
	at, _ := slices.BinarySearchFunc(inv.sorted, m.host, compareHost)
	inv.sorted = slices.Insert(inv.sorted, at, m)
}

// drop forgets a machine.
func (inv *inventory) drop(m *machine) {
	delete(inv.byHost, m.host)
	if at, found := slices.BinarySearchFunc(inv.sorted, m.host, compareHost); found {
		inv.sorted = slices.Delete(inv.sorted, at, at+1)
	}
}

func compareHost(m *machine, host string) int { return cmp.Compare(m.host, host) }

// isReturned says whether the machine's return was confirmed: what is heard of it is late.
func (inv *inventory) isReturned(host string) bool {
	_, returned := inv.returned[host]
	return returned
}

// recordReturned takes confirmed returns, and forgets those of long ago.
func (inv *inventory) recordReturned(hosts []string, now Micros) {
	for host, at := range inv.returned {
		if now-at > returnedMemory {
			delete(inv.returned, host)
		}
	}
	for _, host := range hosts {
		inv.returned[host] = now
	}
}

// recordPeerContact takes when another controller heard from a machine.
func (inv *inventory) recordPeerContact(host string, at Micros) {
	if m := inv.byHost[host]; m != nil {
		m.lastPeerContact = max(m.lastPeerContact, at)
	} else if len(inv.peerContacts) < maxPeerContacts {
		inv.peerContacts[host] = max(inv.peerContacts[host], at)
	}
}
