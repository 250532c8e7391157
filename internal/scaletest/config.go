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

// ConfigResult counts the changes of configuration and their outcomes, over the whole run.
type ConfigResult struct {
	Applied int `json:"applied"`
	InForce int `json:"in_force"` // at all controllers that were reached, within the limit
	Failed  int `json:"failed"`   // refused, or the outcome is unknown
	Late    int `json:"late"`     // not in force everywhere within the limit
	Refused int `json:"refused_batches"`
}

const (
	inForceTimeout = 15 * time.Second // which the operators ask for
	inForcePoll    = 5 * time.Millisecond
)

// configurer changes the limits of one team after the other through the controllers.
type configurer struct {
	runner   *runner
	clients  []*peer.Client
	settings *config.Settings

	mu     sync.Mutex
	result ConfigResult
}

// changeConfig changes the configuration at the rate of the run until the context ends.
func (r *runner) changeConfig(ctx context.Context) {
	rate := r.spec.Counts.ConfigPerS
	if rate <= 0 {
		return
	}
	changer := &configurer{runner: r}
	if err := changer.dial(); err != nil {
		r.report.invalidate("configuration: %v", err)
		return
	}
	var changes sync.WaitGroup
	start := time.Now()
	for i := 0; ; i++ {
		if !sleep(ctx, time.Until(start.Add(time.Duration(float64(i)/rate*float64(time.Second))))) {
			break
		}
		changes.Go(func() { changer.applyChange(i) })
	}
	changes.Wait()
	for _, client := range changer.clients {
		_ = client.Close()
	}
	r.configured <- changer.result
}

// dial connects to the controllers by their own addresses.
func (c *configurer) dial() error {
	for i := range c.runner.site.Controllers() {
		settings, err := config.Load(c.runner.site.Settings(i), c.runner.options.Operator)
		if err != nil {
			return err
		}
		client, err := peer.Dial(settings.PeerAddr)
		if err != nil {
			return err
		}
		c.clients, c.settings = append(c.clients, client), settings
	}
	return nil
}

// applyChange applies a limit of one team, slightly below the platform's so that it changes what
// starts little, at one controller after the other until one says that it is applied.
func (c *configurer) applyChange(number int) {
	team := c.settings.Deployment.Teams[number%len(c.settings.Deployment.Teams)]
	limit := team.MaxCPUs - float64(1+number/len(c.settings.Deployment.Teams)%16)
	document, err := dynconfig.NewDocument(dynconfig.KindTeam, team.Name, dynconfig.Team{CPUsMax: &limit})
	if err != nil {
		c.updateResult(func(r *ConfigResult) { r.Failed++ })
		return
	}
	ctx, cancel := context.WithTimeout(c.runner.ctx, time.Minute)
	defer cancel()
	request := &peer.ConfigApplyRequest{ID: fmt.Sprintf("scale-%d-%d", c.runner.generator.prefix, number), Author: "scale run", Changes: []dynconfig.Change{{Document: document}}}
	start := time.Now()
	for attempt := range c.clients {
		response, err := c.clients[(number+attempt)%len(c.clients)].ConfigApply(ctx, request)
		if err == nil && (response.Outcome == peer.ConfigApplied || response.Outcome == peer.ConfigUnchanged) {
			c.runner.generator.record(latencyConfigApply, time.Since(start))
			c.updateResult(func(r *ConfigResult) { r.Applied++ })
			c.awaitInForce(ctx, response.Generation)
			return
		}
		request.Retry = true
	}
	c.updateResult(func(r *ConfigResult) { r.Failed++ })
}

// awaitInForce waits until the generation is in force at all controllers.
func (c *configurer) awaitInForce(ctx context.Context, generation uint64) {
	start := time.Now()
	for _, client := range c.clients {
		for {
			status, err := client.ConfigStatus(ctx)
			if err == nil && status.Loaded && status.Generation >= generation {
				break
			}
			if time.Since(start) > inForceTimeout {
				c.updateResult(func(r *ConfigResult) { r.Late++ })
				return
			}
			time.Sleep(inForcePoll)
		}
	}
	c.runner.generator.record(latencyConfigInForce, time.Since(start))
	c.updateResult(func(r *ConfigResult) { r.InForce++ })
}

// updateResult changes the result under the lock.
func (c *configurer) updateResult(f func(*ConfigResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.result)
}

// collectConfigResult adds the result of the changes to the report after the load has stopped.
func (r *runner) collectConfigResult() {
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
	case <-time.After(inForceTimeout + time.Minute):
		r.report.invalidate("changes of configuration did not end")
	}
}
