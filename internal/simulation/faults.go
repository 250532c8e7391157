package simulation

import (
	"dalefront/internal/failuredomain"
)

// cut is a zone that is cut off from everything outside it.
type cut struct {
	from   int64
	until  int64
	inside bool // controllers there go on renewing leases
	held   bool // what is sent meanwhile is delivered when it ends
}

// Cut cuts a zone off for a while. Where controllers are inside they renew its
// workers' leases under the token that these have seen; what is sent outwards is
// lost, or held back and delivered late.
func (w *World) Cut(zone string, length int64, inside, held bool) {
	w.zones[zone] = &cut{from: w.Now, until: w.Now + length, inside: inside, held: held}
}

// cut returns the cut that a zone is behind, if any.
func (w *World) cut(zone string) *cut {
	if c := w.zones[zone]; c != nil && w.Now < c.until {
		return c
	}
	return nil
}

// cutOff takes a report that can't leave its zone.
func (w *World) cutOff(k *worker, m message) bool {
	c := w.cut(m.report.Zone)
	if c == nil {
		return false
	}
	if c.inside && m.report.FencingToken > 0 {
		k.waiting = false
		k.Renew()
	}
	if c.held {
		m.at = c.until + int64(w.Rng.IntN(int(second)))
		m.lost = true // its sender has long given it up
		w.net = append(w.net, m)
	}
	return true
}

// controllers is one controller in each zone, as the leader sees them.
func (w *World) controllers() []failuredomain.Controller {
	var out []failuredomain.Controller
	for _, z := range []string{"x", "y"} {
		c := failuredomain.Controller{Zone: z, LastHeard: w.Now}
		if x := w.zones[z]; x != nil {
			if !x.inside {
				continue // nobody is there
			}
			if w.Now < x.until {
				c.LastHeard = x.from
			}
		}
		out = append(out, c)
	}
	return out
}

// Hang lets machines stop executing anything; they may go on later.
func (w *World) Hang(n int, length int64) {
	for _, k := range w.some(n) {
		k.Hang(w.Now + length)
	}
}

// some draws workers, n of them at most.
func (w *World) some(n int) (out []*worker) {
	hs := keys(w.workers)
	for _, i := range w.Rng.Perm(len(hs))[:min(n, len(hs))] {
		out = append(out, w.workers[hs[i]])
	}
	return out
}

// Deafen lets answers and commands to machines be lost for a while; their reports arrive.
func (w *World) Deafen(n int, length int64) {
	for _, k := range w.some(n) {
		k.deaf = w.Now + length
	}
}

// Silence lets machines reach no controller for a while; commands reach them.
func (w *World) Silence(n int, length int64) {
	for _, k := range w.some(n) {
		k.mute = w.Now + length
	}
}

// CancelHung cancels a job at the moment at which its machines begin to hang.
func (w *World) CancelHung(id string, length int64) {
	for _, h := range w.fleet.Holding(id) {
		if k := w.workers[h]; k != nil {
			k.Hang(w.Now + length)
		}
	}
	w.Cancel(id)
}

// Settle ends all troubles.
func (w *World) Settle() {
	for _, k := range w.workers {
		k.deaf, k.mute, k.echo = 0, 0, 0
		k.Hang(0)
	}
	w.zones = map[string]*cut{}
	w.Calm, w.Settled, w.Lose = true, true, nil
	w.Lag, w.Link = 400_000, 20_000
}

// KillZone lets all machines of a zone die at once.
func (w *World) KillZone(zone string) (n int) {
	for _, h := range keys(w.workers) {
		if v := w.workers[h].View(); v.Zone == zone && !v.Dead {
			w.workers[h].Die()
			n++
		}
	}
	return n
}

func (w *World) giveBack(host string) {
	if k := w.workers[host]; k != nil {
		if v := k.View(); v.Running > 0 && !v.Dead {
			w.Returned++
		}
		w.fleet.Return([]string{host})
		delete(w.workers, host)
	}
}

// Running counts the tasks that run in a zone.
func (w *World) Running(zone string) (n int) {
	for _, h := range keys(w.workers) {
		if v := w.workers[h].View(); v.Zone == zone && !v.Dead {
			n += v.Running
		}
	}
	return n
}
