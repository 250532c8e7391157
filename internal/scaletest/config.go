package scaletest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/internal/peer"
)

// ConfigResult is how the changes of configuration went, over the whole run.
type ConfigResult struct {
	Applied int `json:"applied"`
	InForce int `json:"in_force"` // at all controllers that were reached, within the limit
	Failed  int `json:"failed"`   // refused, or the outcome is unknown
	Late    int `json:"late"`     // not in force everywhere within the limit
	Refused int `json:"refused_batches"`
}

const (
	inForceLimit = 15 * time.Second // the letter's
	inForcePoll  = 5 * time.Millisecond
)

// configurer changes the limits of teams in turn.
type configurer struct {
	r       *runner
	clients []*peer.Client
	set     *config.Settings

	mu     sync.Mutex
	result ConfigResult
}

// changeConfig changes the configuration at the rate of the run until the context ends.
func (r *runner) changeConfig(ctx context.Context) {
	rate := r.spec.Counts.ConfigPerS
	if rate <= 0 {
		return
	}
	c := &configurer{r: r}
	if err := c.dial(); err != nil {
		r.report.notCounted("configuration: %v", err)
		return
	}
	var all sync.WaitGroup
	begun := time.Now()
	for i := 0; ; i++ {
		if !pause(ctx, time.Until(begun.Add(time.Duration(float64(i)/rate*float64(time.Second))))) {
			break
		}
		all.Go(func() { c.change(i) })
	}
	all.Wait()
	for _, client := range c.clients {
		_ = client.Close()
	}
	r.configured <- c.result
}

// dial connects to the controllers by their own addresses.
func (c *configurer) dial() error {
	for i := range c.r.site.Controllers() {
		set, err := config.Load(c.r.site.Settings(i), c.r.opt.Operator)
		if err != nil {
			return err
		}
		client, err := peer.Dial(set.PeerAddr)
		if err != nil {
			return err
		}
		c.clients, c.set = append(c.clients, client), set
	}
	return nil
}

// change applies a limit of one team, slightly below the platform's so that it changes what
// starts little, at one controller after the other until one says that it is applied.
func (c *configurer) change(i int) {
	team := c.set.Deployment.Teams[i%len(c.set.Deployment.Teams)]
	limit := team.MaxCPUs - float64(1+i/len(c.set.Deployment.Teams)%16)
	d, err := dynconfig.NewDocument(dynconfig.KindTeam, team.Name, dynconfig.Team{CPUsMax: &limit})
	if err != nil {
		c.count(func(r *ConfigResult) { r.Failed++ })
		return
	}
	ctx, cancel := context.WithTimeout(c.r.ctx, time.Minute)
	defer cancel()
	q := &peer.ConfigApplyRequest{ID: fmt.Sprintf("scale-%d-%d", c.r.gen.prefix, i), Author: "scale run", Changes: []dynconfig.Change{{Document: d}}}
	begun := time.Now()
	for k := range c.clients {
		a, err := c.clients[(i+k)%len(c.clients)].ConfigApply(ctx, q)
		if err == nil && (a.Outcome == peer.ConfigApplied || a.Outcome == peer.ConfigUnchanged) {
			c.r.gen.record(timeApply, time.Since(begun))
			c.count(func(r *ConfigResult) { r.Applied++ })
			c.awaitInForce(ctx, a.Generation)
			return
		}
		q.Retry = true
	}
	c.count(func(r *ConfigResult) { r.Failed++ })
}

// awaitInForce waits until all controllers decide by the generation.
func (c *configurer) awaitInForce(ctx context.Context, generation uint64) {
	begun := time.Now()
	for _, client := range c.clients {
		for {
			a, err := client.ConfigStatus(ctx)
			if err == nil && a.Loaded && a.Generation >= generation {
				break
			}
			if time.Since(begun) > inForceLimit {
				c.count(func(r *ConfigResult) { r.Late++ })
				return
			}
			time.Sleep(inForcePoll)
		}
	}
	c.r.gen.record(timeInForce, time.Since(begun))
	c.count(func(r *ConfigResult) { r.InForce++ })
}

func (c *configurer) count(f func(*ConfigResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.result)
}

// takeConfig takes the result of the changes once the generator has stopped.
func (r *runner) takeConfig() {
	if r.spec.Counts.ConfigPerS <= 0 {
		return
	}
	select {
	case result := <-r.configured:
		for i := range r.site.Controllers() {
			if m, err := r.site.Metrics(i); err == nil {
				result.Refused += int(m["dalefront_config_refused_batches"])
			}
		}
		r.report.Config = &result
	case <-time.After(inForceLimit + time.Minute):
		r.report.notCounted("changes of configuration did not end")
	}
}
