// Package failuredomain is the failure-domain detector. From the silence of workers and
// controllers, by zone, and from the cloud's list it says of each silent machine
// what has most likely become of it, with the evidence, and for how long the
// silence may be expected to last. It is pure: observations and the time go in.
//
// Its findings steer when machines are returned, what is hired meanwhile and where
// work is placed. They never free anything: what is on a silent machine stays on
// the books until there is proof.
package failuredomain

import (
	"fmt"
	"maps"
	"slices"

	"dalefront/internal/config"
)

// Micros is time in whole microseconds.
type Micros = config.Micros

const second = config.Second

// Verdict is what has most likely become of a machine.
type Verdict int

// The verdicts.
const (
	Serving Verdict = iota // it reports, or is late by less than means anything
	Unclear                // silent by itself: dead or hanging, nothing tells yet
	Dead                   // the cloud's list says so
	Hung                   // silent although the list shows it running long after
	Cut                    // silent together with its zone
	Blind                  // so much is silent that the fault is likelier here
)

// String is the verdict as logs and metrics name it.
func (v Verdict) String() string {
	return [...]string{"serving", "unclear", "dead", "hung", "cut", "blind"}[v]
}

// Machine is what is known of a machine. Times are those of the observer's clock.
type Machine struct {
	Zone    string
	Mine    bool   // it has reported under this observer
	Heard   Micros // when a report of it last reached a controller, 0 if nobody knows
	Running Micros // the latest moment of which the list shows it running, 0 if none
	Failed  bool   // the list shows that it failed, or shows it no longer
}

// Controller is another controller of the site.
type Controller struct {
	Zone  string
	Heard Micros // when it last answered, 0 if it never did
}

// Params are the timings of a deployment, in microseconds.
type Params struct {
	Zone    string // of the observer
	Began   Micros // when it began to observe: what nobody knows of counts from then
	Report  Micros // interval of workers' reports
	ListLag Micros // of the cloud's list
}

// From the protocol: a worker gives a report up after 4 s and tries the next node
// 1 s later; a machine that died stays listed as running for about another 30 s.
const (
	giveUp      = 4 * second
	retry       = second
	deathListed = 30 * second
)

// heard is from when on the machine's silence counts.
func (p *Params) heard(m *Machine) Micros {
	if m.Heard == 0 {
		return p.Began
	}
	return m.Heard
}

// Silence is how long a machine has to be unheard before it counts as silent: a
// report interval at its longest, and one node that did not answer.
func (p *Params) Silence() Micros { return p.Report*5/4 + giveUp + retry + second }

// Finding is a verdict with its evidence.
type Finding struct {
	Verdict  Verdict
	Evidence string
	Since    Micros  // since when it, or its zone, is silent
	Expect   Micros  // for how long the silence may be expected to go on
	Dying    float64 // Unclear: how likely it is dead
	Known    Micros  // Unclear: until the list will tell
	Working  bool    // its tasks may go on: a controller inside the cut renews leases
}

// zone is what the last survey saw of a zone.
type zone struct {
	known, silent int
	heard         []Micros // when those that are silent were last heard
	inside        int      // other controllers in it
	talking       int      // of these, heard lately
	lastTalked    Micros   // when one was last heard

	cut      bool
	since    Micros
	backAt   Micros // when it was found to be back
	evidence string
	renewing bool
}

// Detector remembers what it has seen of zones and of past silences.
type Detector struct {
	p        Params
	zones    map[string]*zone
	blind    bool
	surveyed Micros

	hangs, cuts episodes
	died, back  float64 // silent machines that turned out dead, and that came back
}

// Silence is how long a machine has to be unheard before it counts as silent.
func (d *Detector) Silence() Micros { return d.p.Silence() }

// New returns a detector for a deployment.
func New(p Params) *Detector { return &Detector{p: p, zones: map[string]*zone{}} }

// From these shares on a zone counts as silent, and as serving again. In between
// the last verdict stands, so that it doesn't flap.
const (
	cutShare   = 0.8
	backShare  = 0.5
	blindShare = 0.6
	least      = 3 // machines, to speak of a zone at all
)

// Survey looks at all machines that have ever reported, and at the other
// controllers. It returns the zones whose state changed, for the log.
func (d *Detector) Survey(now Micros, machines []Machine, controllers []Controller) (changed []Change) {
	d.surveyed = now
	limit := d.p.Silence()
	for _, z := range d.zones {
		*z = zone{cut: z.cut, since: z.since, backAt: z.backAt, evidence: z.evidence, renewing: z.renewing, heard: z.heard[:0]}
	}
	at := func(name string) *zone {
		z := d.zones[name]
		if z == nil {
			z = &zone{}
			d.zones[name] = z
		}
		return z
	}
	mine, silent := 0, 0
	for i := range machines {
		m := &machines[i]
		if m.Failed {
			continue // it says nothing about its zone's network
		}
		z := at(m.Zone)
		z.known++
		if m.Mine {
			mine++
		}
		if now-d.p.heard(m) > limit {
			z.silent++
			if m.Heard > 0 {
				z.heard = append(z.heard, m.Heard)
			}
			if m.Mine {
				silent++
			}
		}
	}
	for _, c := range controllers {
		z := at(c.Zone)
		z.inside++
		z.lastTalked = max(z.lastTalked, c.Heard)
		if c.Heard > 0 && now-c.Heard <= limit/2 {
			z.talking++
		}
	}
	serving := 0 // zones that are well heard
	for _, z := range d.zones {
		if z.known > 0 && float64(z.silent) <= backShare*float64(z.known) {
			serving++
		}
	}
	// Where no zone is well heard nothing sets one apart: then the fault is
	// likelier on this side. Machines that this observer has never heard say nothing
	// about its own connections.
	d.blind = silent >= least && serving == 0 && float64(silent) >= blindShare*float64(mine)
	for _, name := range d.names() {
		z := d.zones[name]
		was := z.cut
		switch {
		case z.cut && (z.talking > 0 && z.silent < z.known || float64(z.silent) < backShare*float64(z.known) || z.known == 0):
			z.cut, z.backAt = false, now
		case !z.cut && !d.blind && name != d.p.Zone && z.known >= least && z.talking == 0 &&
			float64(z.silent) >= cutShare*float64(z.known) && serving > 0:
			z.cut = true
			z.since = d.fellSilent(z)
			// Its controllers hold the leader's grant if they were there when it
			// fell silent; they renew its workers' leases.
			z.renewing = z.inside > 0 && z.lastTalked >= z.since-limit
			z.evidence = fmt.Sprintf("%d of %d machines silent, %d controllers inside, none heard", z.silent, z.known, z.inside)
		}
		if was == z.cut {
			continue
		}
		c := Change{Zone: name, Cut: z.cut, Since: z.since, Evidence: z.evidence, Renewing: z.renewing}
		if !z.cut {
			c.Lasted = now - z.since
			c.Evidence = fmt.Sprintf("%d of %d machines heard", z.known-z.silent, z.known)
			d.cuts.add(now, c.Lasted)
		}
		changed = append(changed, c)
	}
	return changed
}

// fellSilent is when a zone fell silent: its machines were last heard within a report
// interval before that, and its controllers within a second. A report that was held
// back may come much later than it was sent, so the latest of them does not tell.
func (d *Detector) fellSilent(z *zone) Micros {
	since := z.lastTalked
	if n := len(z.heard); n > 0 {
		slices.Sort(z.heard)
		since = max(since, z.heard[n*3/4])
	}
	if since == 0 {
		return d.p.Began
	}
	return since
}

// Change says that a zone was found to be cut off, or is back.
type Change struct {
	Zone     string
	Cut      bool
	Since    Micros
	Lasted   Micros // of a cut that ended
	Evidence string
	Renewing bool
}

func (d *Detector) names() []string {
	return slices.Sorted(maps.Keys(d.zones))
}

// IsCut says whether the zone is found to be cut off.
func (d *Detector) IsCut(name string) bool {
	z := d.zones[name]
	return z != nil && z.cut
}

// Cuts counts the zones that are found to be cut off.
func (d *Detector) Cuts() (n int) {
	for _, z := range d.zones {
		if z.cut {
			n++
		}
	}
	return n
}

// IsBlind says whether so much is silent that the fault is likelier here.
func (d *Detector) IsBlind() bool { return d.blind }

// Judge says what has most likely become of a machine.
func (d *Detector) Judge(now Micros, m Machine) Finding {
	f := Finding{Since: d.p.heard(&m)}
	quiet := now - f.Since
	z := d.zones[m.Zone]
	switch {
	case m.Failed:
		f.Verdict, f.Evidence = Dead, "the list shows it failed or gone"
	case quiet <= d.p.Silence():
	case d.blind:
		f.Verdict, f.Evidence = Blind, "most machines of all zones are silent"
		f.Expect = quiet
	case z != nil && z.backAt > 0 && !z.cut && now-z.backAt < d.p.Silence() && f.Since < z.backAt:
		// Its worker has yet to find a node: it gives one up after some seconds.
		f.Verdict, f.Evidence, f.Since = Cut, "its zone has just come back", z.since
		f.Expect, f.Working = giveUp+retry, z.renewing
	case z != nil && z.cut:
		f.Verdict, f.Evidence, f.Since = Cut, z.evidence, z.since
		f.Expect = d.cuts.remaining(now - z.since)
		f.Working = z.renewing
	case m.Running-f.Since > deathListed+2*d.p.ListLag:
		f.Verdict, f.Evidence = Hung, "listed as running long after its last report"
		f.Expect = d.hangs.remaining(quiet)
	default:
		f.Verdict, f.Evidence = Unclear, "silent by itself"
		f.Expect = d.hangs.remaining(quiet)
		f.Dying = (1 + d.died) / (2 + d.died + d.back)
		// The list shows a death after deathListed and its lag.
		f.Known = max(second, f.Since+deathListed+d.p.ListLag*3/2-now)
	}
	return f
}

// Resumed says that a machine which had been silent for so long, and not with its
// zone, was heard again.
func (d *Detector) Resumed(now, quiet Micros) {
	if quiet > d.p.Silence() {
		d.back = min(d.back+1, mostCounted)
		d.hangs.add(now, quiet)
	}
}

// Died says that a silent machine turned out to be dead.
func (d *Detector) Died() { d.died = min(d.died+1, mostCounted) }

// mostCounted bounds what one mass event can teach about the next.
const mostCounted = 20

// Memory is what is kept of past silences over a change of the observer.
type Memory struct {
	Hangs []Micros `msgpack:"H"`
	Cuts  []Micros `msgpack:"C"`
	Died  float64  `msgpack:"D"`
	Back  float64  `msgpack:"B"`
}

// Memory returns what was observed of past silences.
func (d *Detector) Memory() Memory {
	return Memory{Hangs: d.hangs.lengths, Cuts: d.cuts.lengths, Died: d.died, Back: d.back}
}

// Remember takes what an earlier observer has seen.
func (d *Detector) Remember(m Memory) {
	d.hangs.lengths = m.Hangs[max(0, len(m.Hangs)-mostEpisodes):]
	d.cuts.lengths = m.Cuts[max(0, len(m.Cuts)-mostEpisodes):]
	d.died, d.back = min(max(0, m.Died), mostCounted), min(max(0, m.Back), mostCounted)
}

// episodes are the lengths of past silences of one kind.
type episodes struct {
	lengths []Micros
	last    Micros
}

const mostEpisodes = 32

// add takes an ended silence. Machines that fell silent together come back
// together: that is one event, not hundreds.
func (e *episodes) add(now, length Micros) {
	if n := len(e.lengths); n > 0 && now-e.last < 5*second && length < e.lengths[n-1]*5/4 && length > e.lengths[n-1]*3/4 {
		e.last = now
		return
	}
	e.last = now
	e.lengths = append(e.lengths, length)
	e.lengths = slices.Clone(e.lengths[max(0, len(e.lengths)-mostEpisodes):])
}

// remaining is how much longer a silence may be expected to last that has lasted
// for so long: the mean of what past ones that lasted longer had left, together
// with one of which nothing is known but that it has lasted so far. With that
// alone, waiting until the wait has cost as much as the alternative costs is never
// more than twice as dear as having known the length.
func (e *episodes) remaining(elapsed Micros) Micros {
	sum, n := elapsed, Micros(1)
	for _, l := range e.lengths {
		if l > elapsed {
			sum += l - elapsed
			n++
		}
	}
	return sum / n
}
