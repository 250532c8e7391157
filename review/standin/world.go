package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"dalefront/internal/emulator"
	"dalefront/wire"
)

// record writes lines with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.2f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.out, line)
	fmt.Println(line)
}

// restartDelay is the time after which the platform starts a controller again that has ended.
const restartDelay = 5 * time.Second

// world is the site of a case with its platform and users.
type world struct {
	ctx     context.Context
	log     *record
	trouble bool // whether the case has its disruption
	dir     string
	site    *emulator.Site
	machine emulator.SpecMachine // the type of all machines

	ends     counter // ends of controllers
	platform sync.WaitGroup

	mu       sync.Mutex
	stopping bool           // the case has ended, so that the platform starts no controller again
	starts   map[string]int // task starts by job
}

// Machine types of the deployment. They are up sooner after they were rented than usually.
var (
	depotrack = emulator.SpecMachine{Name: "depotrack", CPUs: 32, MemoryGB: 64, CacheGB: 25, FetchGBPS: 0.25, Price: 2.16, SpotPrice: 0.77, BootS: 2}
	lensnode  = emulator.SpecMachine{Name: "lensnode", CPUs: 16, GPUs: 2, MemoryGB: 128, CacheGB: 150, FetchGBPS: 0.6, Price: 4.39, SpotPrice: 1.74, BootS: 2}
)

// spec describes a small deployment: three controllers in two zones, with the limits of the deploy page.
func spec(machines int, machine emulator.SpecMachine) emulator.Spec {
	return emulator.Spec{
		Controllers: 3, Machines: machines, Sockets: 800, Zones: []string{"tartumaa", "harju"},
		Types: []emulator.SpecMachine{machine},
		Teams: []emulator.SpecTeam{
			{Name: "tallinnalamps", CPUs: 32, CPUsMax: 72}, {Name: "pimeala", CPUs: 72, CPUsMax: 224},
			{Name: "kiirvalgus", CPUs: 72, CPUsMax: 224}, {Name: "helendus", CPUs: 24, CPUsMax: 88},
		},
		Workers: &emulator.SpecWorkers{HeartbeatIntervalS: 1.5, LeaseS: 12, GangWaitS: 50, GangLossDetectionS: 8, CancellationTimeoutS: 32},
		State:   &emulator.SpecState{RPS: 70, WriteRPS: 25, ValueKB: 16, TxnOps: 12},
		Cloud:   &emulator.SpecCloud{RPS: 4, ListLagS: 8},
	}
}

// start starts the site of a case. The cloud has one machine to give, or several where the case isn't about waiting jobs.
func (w *world) start(program, name string) (err error) {
	machines := 1
	w.machine = depotrack
	switch name {
	case "malformed":
		machines = 4
	case "change":
		w.machine = lensnode
	}
	if w.dir, err = os.MkdirTemp("", "dalefront-review-"); err != nil {
		return err
	}
	if w.site, err = emulator.Up(emulator.Options{Spec: spec(machines, w.machine), Dir: w.dir, Program: program}); err != nil {
		return err
	}
	w.site.Fleet.OnTaskStart = func(j *wire.Job, task int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.starts[j.ID]++
		w.log.addf("worker: %s/%d starts", j.ID, task)
	}
	for i := range w.site.NumControllers() {
		w.platform.Go(func() { w.keepRunning(i) })
		w.platform.Go(func() { w.limitMemory(i) })
	}
	ctx, cancel := context.WithTimeout(w.ctx, 20*time.Second)
	defer cancel()
	return w.site.Ready(ctx)
}

// keepRunning starts a controller again whenever it has ended.
func (w *world) keepRunning(i int) {
	for {
		err := w.site.Wait(i)
		if w.isStopping() {
			return
		}
		w.ends.Add(1)
		w.log.addf("platform: %s has ended: %v", w.site.Label(i), err)
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(restartDelay):
		}
		w.mu.Lock()
		if !w.stopping {
			err = w.site.Start(i)
		}
		stopping := w.stopping
		w.mu.Unlock()
		if stopping || err != nil {
			return
		}
		w.log.addf("platform: %s is started again", w.site.Label(i))
	}
}

// memoryLimit is the memory in kilobytes that the settings allow a controller (ram_mb).
const memoryLimit = 256 << 10

// limitMemory kills a controller whenever it has used more memory than its settings allow.
func (w *world) limitMemory(i int) {
	killed := 0
	for ; !w.isStopping(); time.Sleep(50 * time.Millisecond) {
		pid := w.site.PID(i)
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil || pid == killed {
			continue
		}
		used := 0
		if _, peak, found := strings.Cut(string(status), "VmHWM:"); found {
			_, _ = fmt.Sscan(peak, &used)
		}
		if used > memoryLimit {
			killed = pid
			w.log.addf("platform: %s is killed: it has used %d MB", w.site.Label(i), used>>10)
			_ = w.site.Signal(i, syscall.SIGKILL)
		}
	}
}

func (w *world) isStopping() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}

// stop ends all processes of the case and removes its folder.
func (w *world) stop() {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	if w.site != nil {
		for i := range w.site.NumControllers() {
			_ = w.site.Signal(i, syscall.SIGKILL)
		}
		_ = w.site.Down()
		w.platform.Wait()
	}
	_ = os.RemoveAll(w.dir)
}

// started returns how many tasks of a job have started.
func (w *world) started(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// awaitStart waits until a task of a job has started.
func (w *world) awaitStart(id string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit && w.ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if w.started(id) > 0 {
			return true
		}
	}
	return false
}
