// Package horizon says until when a controller may renew workers' leases, and when it may
// tell a user that a job is cancelled, so that whoever renews a lease either knows of every
// cancellation that any controller has confirmed, or stops early enough. docs/meetings.md
// argues it. It is pure: times come in, and decisions go out.
package horizon

import (
	"sync"

	"dalefront/internal/config"
)

// Micros is a duration or a point of time in whole microseconds; points are of this
// process's steady clock.
type Micros = config.Micros

// Rules are the times that everything rests on.
type Rules struct {
	Slack  Micros // within which all other controllers must have answered, for renewals beyond Unread
	Unread Micros // for so long after the ends were read leases are renewed in any case
	Wait   Micros // after so long a cancellation is confirmed though a controller may not know of it
	Keep   Micros // for so long cancellations are held
	Most   int    // of which no more are held
	Tight  bool   // cancel_s leaves no room after a lease
}

// leastSlack is what remains where the settings leave no room.
const leastSlack = 3 * config.Second

// RulesOf takes the times from the settings. What is subtracted is the drift of two steady
// clocks over the longest time that counts, and half a second in which a worker notices
// that its lease is over.
func RulesOf(set *config.Settings) Rules {
	d := &set.Deployment
	lease, cancel := config.Micro(d.Workers.LeaseS), config.Micro(d.Workers.CancelS)
	wait := config.Micro(*set.Operator.CancelWaitS)
	margin := (lease+cancel+wait)/1000 + config.Second/2
	r := Rules{Slack: cancel - lease - margin, Wait: wait}
	if r.Slack < leastSlack {
		r.Slack, r.Tight = leastSlack, true
	}
	r.Unread = r.Wait + r.Slack
	r.Keep = r.Unread + lease + cancel + margin
	// The store can't create more ends than it takes changes.
	r.Most = min(max(256, int(d.State.WriteRPS*float64(r.Keep)/float64(config.Second))), 50_000)
	return r
}

// Shared is what one controller tells another of the cancellations that it holds, in the
// order in which it learned of them.
type Shared struct {
	Base int      `msgpack:"b"` // place of the oldest that is still held
	From int      `msgpack:"f"` // place of the first that is named here
	IDs  []string `msgpack:"i,omitempty"`
	Ages []Micros `msgpack:"g,omitempty"` // for so long at least each end has existed
	Last int      `msgpack:"l"`           // place after the latest

	Born  uint64 `msgpack:"p,omitempty"` // of the receiver's process that the sender heard last,
	Holds int    `msgpack:"h,omitempty"` // and the place up to which the sender holds what it named

	Sound  bool   `msgpack:"s,omitempty"` // it has read the ends since it was started
	Taught bool   `msgpack:"t,omitempty"` // or has learned from others all that its earlier processes held
	Read   Micros `msgpack:"r,omitempty"` // for so long the ends were not read, if it is either
}

// most is how many cancellations one message names.
const most = 2000

// fresh is for how long it counts that another controller holds something. A process that
// begins waits for so long before it learns from others what the one before it may have
// held: nobody counts that one's word any more.
const fresh = 3 * config.Second

type entry struct {
	id      string
	at      Micros // when the end existed for certain
	settled bool   // every controller holds it, or its tasks are gone
}

// other is what is known of another controller.
type other struct {
	born  uint64
	has   int    // up to this place of its list this controller holds everything
	acked int    // up to this place of ours it holds everything,
	at    Micros // as of the moment of this question
	asked Micros // when it was last asked and named all that it holds, being sound; 0: never
}

// Book is what one process of a controller knows. It is safe for use by several goroutines.
type Book struct {
	rules Rules

	mu      sync.Mutex
	born    Micros // 0: not begun
	read    Micros // all ends created before were read, here or by whoever passed them on
	taught  bool   // all that was confirmed with the help of an earlier process was learned
	missed  Micros // when a cancellation could not be held
	base    int    // place of the first entry
	log     []*entry
	held    int // up to this place every controller holds all
	by      map[string]*entry
	others  map[string]*other
	changed chan struct{} // closed when others hold more
}

// NewBook returns an empty book; labels are the other controllers.
func NewBook(rules Rules, labels []string) *Book {
	b := &Book{rules: rules, by: map[string]*entry{}, others: map[string]*other{}, changed: make(chan struct{})}
	for _, l := range labels {
		b.others[l] = &other{}
	}
	return b
}

// Begin says that from now on no earlier process of this controller can hold anything more.
func (b *Book) Begin(now Micros) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.born = now
}

// Note takes a cancellation whose end exists, and says whether it is held. What can't be
// held must not be confirmed.
func (b *Book) Note(id string, now Micros) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.note(id, now, now)
}

func (b *Book) note(id string, at, now Micros) bool {
	if b.by[id] != nil {
		return true
	}
	for len(b.log) > 0 && now-b.log[0].at > b.rules.Keep {
		delete(b.by, b.log[0].id)
		b.log[0] = nil
		b.log = b.log[1:]
		b.base++
	}
	if len(b.log) >= b.rules.Most {
		b.missed = now
		return false
	}
	e := &entry{id: id, at: at}
	b.log = append(b.log, e)
	b.by[id] = e
	return true
}

// Read says that all ends that existed at a moment were read, and those of cancellations noted.
func (b *Book) Read(at Micros) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads(at)
}

func (b *Book) reads(at Micros) {
	if b.missed != 0 && at <= b.missed+b.rules.Keep {
		return // one of them is not held
	}
	b.read = max(b.read, at)
}

// sound says whether nothing is forgotten that an earlier process of this controller held:
// everything it held had been created, so that it is among what was read since.
func (b *Book) sound() bool { return b.born != 0 && b.read >= b.born }

// Renews says whether leases may be renewed now.
func (b *Book) Renews(now Micros) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if (b.sound() || b.taught) && b.read != 0 && now-b.read <= b.rules.Unread {
		return true
	}
	return b.sound() && now-b.all(now) <= b.rules.Slack
}

// all is when all other controllers were last asked and named all that they hold, 0 if
// one never has.
func (b *Book) all(now Micros) Micros {
	least := now
	for _, o := range b.others {
		least = min(least, o.asked)
	}
	return least
}

// Age is how long ago the ends were read, and whether they ever were since this
// controller was started.
func (b *Book) Age(now Micros) (Micros, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now - b.read, b.sound() || b.taught
}

// Size is how many cancellations are held, and how many of them can't be confirmed yet.
func (b *Book) Size() (held, unsettled int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.log {
		if !e.settled {
			unsettled++
		}
	}
	return len(b.log), unsettled
}

// Cancelled says whether the job is held as cancelled.
func (b *Book) Cancelled(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.by[id] != nil
}

// MayTell says whether a user may be told that a job, which was noted, is cancelled: every
// controller holds it, its tasks are gone, or it is so old that nobody can go on renewing
// leases without knowing of it. If not, the channel is closed when that may have changed.
func (b *Book) MayTell(id string, now Micros) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.by[id]
	if e == nil || e.settled || len(b.others) == 0 || now-e.at >= b.rules.Wait && !b.rules.Tight {
		return true, nil // what is no longer held is older still
	}
	return false, b.changed
}

// Settle says that a cancelled job has no task left anywhere.
func (b *Book) Settle(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.by[id]; e != nil {
		e.settled = true
	}
}
