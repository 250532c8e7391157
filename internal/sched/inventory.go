package sched

import (
	"cmp"
	"slices"
)

const (
	// maxPeerContacts is the maximum number of unknown machines for which the inventory keeps the last contact
	// of another controller.
	maxPeerContacts = 100_000
	// returnedRetention is the time for which the name of a returned machine is kept, since machine lists and
	// heartbeats from before the return may arrive late.
	returnedRetention = 600 * second
)

// inventory holds the known machines of the site and the names of recently returned machines. For machines
// that this controller doesn't know yet, it holds the last contacts that other controllers reported.
//
// Invariants: byHost and sorted hold the same machines, and peerContacts holds none of these machines.
type inventory struct {
	byHost       map[string]*machine
	sorted       []*machine        // by name
	returned     map[string]Micros // when the return of a machine was confirmed, by host
	peerContacts map[string]Micros // when another controller last heard from an unknown machine, by host
}

func newInventory() inventory {
	return inventory{byHost: map[string]*machine{}, returned: map[string]Micros{}, peerContacts: map[string]Micros{}}
}

// find returns a known machine, or nil.
func (inv *inventory) find(host string) *machine { return inv.byHost[host] }

// all returns the known machines sorted by name. The caller must not change the list, and must clone the list
// to add or drop machines while iterating.
func (inv *inventory) all() []*machine { return inv.sorted }

// count returns the number of known machines.
func (inv *inventory) count() int { return len(inv.sorted) }

// add adds a machine that is not known yet, together with the last contact that peers reported for it.
func (inv *inventory) add(m *machine) {
	m.lastPeerContact = inv.peerContacts[m.host]
	delete(inv.peerContacts, m.host)
	inv.byHost[m.host] = m
	index, _ := slices.BinarySearchFunc(inv.sorted, m.host, compareHost)
	inv.sorted = slices.Insert(inv.sorted, index, m)
}

// drop removes a machine.
func (inv *inventory) drop(m *machine) {
	delete(inv.byHost, m.host)
	if index, found := slices.BinarySearchFunc(inv.sorted, m.host, compareHost); found {
		inv.sorted = slices.Delete(inv.sorted, index, index+1)
	}
}

func compareHost(m *machine, host string) int { return cmp.Compare(m.host, host) }

// isReturned reports whether the machine's return was confirmed, so that any report about it is outdated.
func (inv *inventory) isReturned(host string) bool {
	_, returned := inv.returned[host]
	return returned
}

// recordReturned records confirmed returns, and forgets returns that were confirmed longer than
// returnedRetention ago.
func (inv *inventory) recordReturned(hosts []string, now Micros) {
	for host, at := range inv.returned {
		if now-at > returnedRetention {
			delete(inv.returned, host)
		}
	}
	for _, host := range hosts {
		inv.returned[host] = now
	}
}

// recordPeerContact records when another controller last heard from a machine.
func (inv *inventory) recordPeerContact(host string, at Micros) {
	if m := inv.byHost[host]; m != nil {
		m.lastPeerContact = max(m.lastPeerContact, at)
	} else if len(inv.peerContacts) < maxPeerContacts {
		inv.peerContacts[host] = max(inv.peerContacts[host], at)
	}
}
