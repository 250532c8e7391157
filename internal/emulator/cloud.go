package emulator

import (
	"net/http"
	"slices"
	"strconv"

	"dalefront/internal/config"
	"dalefront/wire"
)

// The protocol's limits of requests to the cloud, in machines.
const (
	maxListed   = 500
	maxReturned = 100
	maxRented   = 50
)

// serveCloud answers rental requests, returns and lists of machines.
func (f *Fleet) serveCloud(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet:
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("Page"))
		respond(w, http.StatusOK, f.page(q.Get("From"), min(max(1, most), maxListed)))
	case r.URL.Path == wire.PathScaleIn:
		var h wire.MachineIDs
		if !read(r, &h) || len(h.IDs) > maxReturned {
			respond(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		f.Return(h.IDs)
		respond(w, http.StatusOK, struct{}{})
	default:
		var h wire.ScaleOutRequest
		if !read(r, &h) || h.RequestID == "" || h.Count < 1 || h.Count > maxRented {
			respond(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		hosts, ok := f.rent(h)
		switch {
		case !ok:
			respond(w, http.StatusBadRequest, wire.Error{Error: "no such type or zone"})
		case len(hosts) == 0:
			respond(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		default:
			respond(w, http.StatusOK, wire.MachineIDs{IDs: hosts})
		}
	}
}

// rent answers a request; repeated, it has the answer that it had.
func (f *Fleet) rent(h wire.ScaleOutRequest) (hosts []string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if had := f.hires[h.RequestID]; had != nil {
		return had, true
	}
	i := slices.IndexFunc(f.catalog.Types, func(t wire.MachineType) bool { return t.Name == h.Type })
	if i < 0 || !slices.Contains(f.catalog.Types[i].Zones, h.Zone) {
		return nil, false
	}
	t := f.catalog.Types[i]
	for range min(h.Count, f.capacity-len(f.machines)) {
		hosts = append(hosts, f.add(t, h.Zone, h.Spot).id)
	}
	if len(hosts) > 0 {
		f.hires[h.RequestID] = hosts
	}
	return hosts, true
}

// add adds a machine that boots. The lock is held.
func (f *Fleet) add(t wire.MachineType, zone string, spot bool) *Machine {
	f.counts.Rented++
	m := &Machine{f: f, id: f.name(), typ: t, zone: zone, spot: spot, born: f.now, stepped: f.now,
		bootAt: f.now + Micros(float64(config.Micro(t.BootS))*(0.6+0.9*f.rnd.Float64())), speed: 0.95 + 0.1*f.rnd.Float64(),
		size: map[string]float64{}, fetches: map[string]float64{}}
	f.machines[m.id] = m
	f.ids = append(f.ids, m.id)
	return m
}

// Return ends machines and everything on them.
func (f *Fleet) Return(hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range hosts {
		m := f.machines[id]
		if m == nil {
			continue
		}
		f.paid += m.price(f.now)
		if !m.dead {
			f.counts.Lost += m.running()
			f.counts.Forgotten += m.running()
			m.dead = true
		}
		for _, t := range m.tasks {
			t.leave()
		}
		f.counts.Returned++
		delete(f.machines, id)
		f.ids = slices.DeleteFunc(f.ids, func(x string) bool { return x == id })
	}
}

// list is all machines as they are. A dead one is shown running for 30 s.
func (f *Fleet) list() (out []wire.Machine) {
	for _, id := range f.ids {
		m := f.machines[id]
		state := wire.MachineBooting
		switch {
		case m.dead && f.now-m.died > 30*config.Second:
			state = wire.MachineFailed
		case m.up:
			state = wire.MachineRunning
		}
		out = append(out, wire.Machine{ID: id, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, State: state, AgeS: float64(f.now-m.born) / 1e6})
	}
	return out
}

// page answers from a list that lags.
func (f *Fleet) page(from string, most int) wire.MachinePage {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := wire.MachinePage{Machines: []wire.Machine{}}
	if len(f.lists) == 0 {
		return out
	}
	for _, h := range f.lists[0].hosts {
		if h.ID <= from {
			continue
		}
		if len(out.Machines) == most {
			out.More = true
			break
		}
		out.Machines = append(out.Machines, h)
	}
	return out
}
