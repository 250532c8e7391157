package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"dalefront/wire"
)

// cloud is a stand-in of the cloud and of the workers on its machines. All machines that it has are up from the
// beginning: any further rental is refused for lack of capacity, as the protocol allows.
type cloud struct {
	site  *site
	types []wire.MachineType

	mu       sync.Mutex
	machines []*machine // in the order of their creation
	jobs     map[string]*upload
	gangs    map[gangKey]*gang
	lists    []machineList // the oldest first
}

// upload is a job's description as its user uploaded it for the workers.
type upload struct {
	wire.Job
	runTime time.Duration // of each task; 0: until it is stopped
}

// machineList is the list of machines as it was at a time.
type machineList struct {
	at       time.Time
	machines []wire.Machine
}

// listLag is the time by which the list lags.
const listLag = 8 * time.Second

func newCloud(s *site) *cloud {
	return &cloud{site: s, jobs: map[string]*upload{}, gangs: map[gangKey]*gang{}, types: []wire.MachineType{{
		Name: "depotrack", CPUs: 32, MemoryGB: 64, CacheGB: 25, FetchGBPS: 0.25, Price: 2.16, SpotPrice: 0.77, BootS: 20, Zones: []string{"harju", "tartumaa"},
	}}}
}

// add adds a machine that is up, and starts its worker.
func (c *cloud) add(zone string, spot bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machine{cloud: c, id: fmt.Sprintf("n-%06d", len(c.machines)+1), kind: c.types[0], zone: zone, spot: spot,
		tenure: 1, answered: time.Now(), since: time.Now().Add(-time.Minute)}
	var err error
	if m.addr, err = listen(m); err != nil {
		return err
	}
	c.machines = append(c.machines, m)
	return nil
}

// startWorkers starts the reports of all machines and the loop that steps their tasks.
func (c *cloud) startWorkers() {
	for i, m := range c.machines {
		m.node = i % len(c.site.controllers)
		go m.run()
	}
	go func() {
		for {
			c.step()
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// upload makes a job known to the workers.
func (c *cloud) upload(j wire.Job, runTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.ID] = &upload{j, runTime}
}

// take takes a spot machine back without notice.
func (c *cloud) take(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(m)
	c.site.note("cloud: takes %s back without notice", m.id)
}

// remove ends a machine and everything on it. The caller holds the lock.
func (c *cloud) remove(m *machine) {
	m.gone = true
	for _, t := range m.tasks {
		t.leave()
	}
	m.tasks = nil
	c.machines = slices.DeleteFunc(c.machines, func(other *machine) bool { return other == m })
}

// step advances the tasks of all machines and takes a list of the machines.
func (c *cloud) step() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, m := range c.machines {
		m.step(now)
	}
	for _, g := range c.gangs {
		g.step(now)
	}
	if len(c.lists) > 0 && now.Sub(c.lists[len(c.lists)-1].at) < 500*time.Millisecond {
		return
	}
	list := machineList{at: now, machines: []wire.Machine{}}
	for _, m := range c.machines {
		list.machines = append(list.machines, wire.Machine{ID: m.id, Addr: m.addr, Type: m.kind.Name, Zone: m.zone, Spot: m.spot,
			State: wire.MachineRunning, AgeS: now.Sub(m.since).Seconds()})
	}
	c.lists = append(c.lists, list)
	for len(c.lists) > 1 && now.Sub(c.lists[1].at) > listLag {
		c.lists = c.lists[1:]
	}
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == wire.PathCatalog:
		reply(w, http.StatusOK, wire.Catalog{Types: c.types})
	case r.URL.Path == wire.PathScaleIn:
		var hosts wire.MachineIDs
		if !decode(r, &hosts) || len(hosts.IDs) > 100 {
			reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		for _, id := range hosts.IDs {
			c.site.note("cloud: %s is returned", id)
			if i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.id == id }); i >= 0 {
				c.remove(c.machines[i])
			}
		}
		reply(w, http.StatusOK, struct{}{})
	case r.Method == http.MethodGet:
		c.serveList(w, r)
	default:
		reply(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
	}
}

func (c *cloud) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("Page"))
	page := wire.MachinePage{Machines: []wire.Machine{}}
	if len(c.lists) > 0 {
		for _, m := range c.lists[0].machines {
			if m.ID > query.Get("From") && len(page.Machines) < max(1, limit) {
				page.Machines = append(page.Machines, m)
			}
		}
	}
	reply(w, http.StatusOK, page)
}

// onMachines returns the number of a job's tasks that are on machines and have not exited.
func (c *cloud) onMachines(id string) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		for _, t := range m.tasks {
			if t.job.ID == id && t.state != wire.TaskExited {
				count++
			}
		}
	}
	return count
}

// roomFor returns the names of the machines that have room for a task of the job.
func (c *cloud) roomFor(j *wire.Job) (hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if cores, memory := m.free(); (j.Spot || !m.spot) && j.CPUs <= cores && j.MemoryGB <= memory {
			hosts = append(hosts, m.id)
		}
	}
	return hosts
}

// coresOf returns the cores that a team's tasks use.
func (c *cloud) coresOf(owner string) (cores float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		for _, t := range m.tasks {
			if t.job.Team == owner && t.state != wire.TaskExited {
				cores += t.job.CPUs
			}
		}
	}
	return cores
}
