package emulator

import (
	"net/http"
	"slices"
	"strconv"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Limits of the protocol, in machines per request to the cloud.
const (
	maxListed   = 500
	maxReturned = 100
	maxRented   = 50
)

// serveCloud handles requests to the cloud: to rent, return and list machines.
func (f *Fleet) serveCloud(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet:
		q := r.URL.Query()
		limit, _ := strconv.Atoi(q.Get("Page"))
		respond(w, http.StatusOK, f.page(q.Get("From"), min(max(1, limit), maxListed)))
	case r.URL.Path == wire.PathScaleIn:
		var ids wire.MachineIDs
		if !decodeBody(r, &ids) || len(ids.IDs) > maxReturned {
			respond(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		f.Return(ids.IDs)
		respond(w, http.StatusOK, struct{}{})
	default:
		var req wire.ScaleOutRequest
		if !decodeBody(r, &req) || req.RequestID == "" || req.Count < 1 || req.Count > maxRented {
			respond(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		hosts, ok := f.rent(req)
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

// rent rents the requested machines and returns their IDs. It is idempotent: a repeated request ID gets the
// machines of the first request again. If the first request rented no machines, the repeated request tries
// again. The result ok is false for an unknown machine type or zone.
func (f *Fleet) rent(req wire.ScaleOutRequest) (hosts []string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if previous := f.machinesByRequest[req.RequestID]; previous != nil {
		return previous, true
	}
	i := slices.IndexFunc(f.catalog.Types, func(t wire.MachineType) bool { return t.Name == req.Type })
	if i < 0 || !slices.Contains(f.catalog.Types[i].Zones, req.Zone) {
		return nil, false
	}
	t := f.catalog.Types[i]
	for range min(req.Count, f.capacity-len(f.machines)) {
		hosts = append(hosts, f.add(t, req.Zone, req.Spot).id)
	}
	if len(hosts) > 0 {
		f.machinesByRequest[req.RequestID] = hosts
	}
	return hosts, true
}

// add adds a new machine, which starts to boot. The caller must hold f.mu.
func (f *Fleet) add(t wire.MachineType, zone string, spot bool) *Machine {
	f.counts.Rented++
	m := &Machine{fleet: f, id: f.nextMachineID(), typ: t, zone: zone, spot: spot, rentedAt: f.now, steppedAt: f.now,
		bootAt: f.now + Micros(float64(config.Micro(t.BootS))*(0.6+0.9*f.rnd.Float64())), speed: 0.95 + 0.1*f.rnd.Float64(),
		imageGB: map[string]float64{}, missingGB: map[string]float64{}}
	f.machines[m.id] = m
	f.ids = append(f.ids, m.id)
	return m
}

// Return gives machines back to the cloud, which ends the tasks on them.
func (f *Fleet) Return(hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range hosts {
		m := f.machines[id]
		if m == nil {
			continue
		}
		f.returnedCost += m.cost(f.now)
		if !m.dead {
			f.counts.Lost += m.runningTasks()
			f.counts.Forgotten += m.runningTasks()
			m.dead = true
		}
		for _, t := range m.tasks {
			t.discard()
		}
		f.counts.Returned++
		delete(f.machines, id)
		f.ids = slices.DeleteFunc(f.ids, func(x string) bool { return x == id })
	}
}

// list returns all machines in their current state. A dead machine is listed as running for the first 30 s.
// The caller must hold f.mu.
func (f *Fleet) list() (out []wire.Machine) {
	for _, id := range f.ids {
		m := f.machines[id]
		state := wire.MachineBooting
		switch {
		case m.dead && f.now-m.diedAt > 30*config.Second:
			state = wire.MachineFailed
		case m.up:
			state = wire.MachineRunning
		}
		out = append(out, wire.Machine{ID: id, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, State: state, AgeS: float64(f.now-m.rentedAt) / 1e6})
	}
	return out
}

// page returns a page of the machine list, with at most limit machines. Their IDs sort after the given ID from.
// The list lags behind the current state.
func (f *Fleet) page(from string, limit int) wire.MachinePage {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := wire.MachinePage{Machines: []wire.Machine{}}
	if len(f.listSnapshots) == 0 {
		return out
	}
	for _, m := range f.listSnapshots[0].machines {
		if m.ID <= from {
			continue
		}
		if len(out.Machines) == limit {
			out.More = true
			break
		}
		out.Machines = append(out.Machines, m)
	}
	return out
}
