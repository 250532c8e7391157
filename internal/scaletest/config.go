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

// ConfigResult counts the configuration changes of the whole run by outcome.
type ConfigResult struct {
	Applied         int `json:"applied"`
	InForce         int `json:"in_force"`        // changes that were in force at all controllers within inForceTimeout
	Failed          int `json:"failed"`          // changes that were rejected or whose outcome is unknown
	Late            int `json:"late"`            // changes that were not in force at all controllers within inForceTimeout
	RejectedBatches int `json:"refused_batches"` // batches of launches that were decided under an older configuration
}

const (
	inForceTimeout = 15 * time.Second // time limit that the operators require
	inForcePoll    = 5 * time.Millisecond
)

// configChanger changes the limits of the teams in turn through the controllers.
type configChanger struct {
	runner   *runner
	clients  []*peer.Client
	settings *config.Settings

	mu     sync.Mutex
	result ConfigResult
}

// changeConfig changes the configuration at the rate of the specification until the context ends.
func (r *runner) changeConfig(ctx context.Context) {
	rate := r.spec.Counts.ConfigPerS
	if rate <= 0 {
		return
	}
	changer := &configChanger{runner: r}
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
	r.configResults <- changer.result
}

// dial connects to each controller at its own peer address.
func (c *configChanger) dial() error {
	for i := range c.runner.site.NumControllers() {
		settings, err := config.Load(c.runner.site.SettingsFile(i), c.runner.options.Operator)
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

// applyChange sets the CPU limit of one team. It tries the controllers in turn until one confirms the change.
// The limit is slightly below the team's limit in the platform's settings, so that it hardly affects
// scheduling.
func (c *configChanger) applyChange(number int) {
	team := c.settings.Deployment.Teams[number%len(c.settings.Deployment.Teams)]
	limit := team.MaxCPUs - float64(1+number/len(c.settings.Deployment.Teams)%16)
	document, err := dynconfig.NewDocument(dynconfig.KindTeam, team.Name, dynconfig.Team{CPUsMax: &limit})
	if err != nil {
		c.updateResult(func(r *ConfigResult) { r.Failed++ })
		return
	}
	ctx, cancel := context.WithTimeout(c.runner.ctx, time.Minute)
	defer cancel()
	request := &peer.ConfigApplyRequest{ID: fmt.Sprintf("scale-%d-%d", c.runner.generator.idPrefix, number), Author: "scale run", Changes: []dynconfig.Change{{Document: document}}}
	start := time.Now()
	for attempt := range c.clients {
		response, err := c.clients[(number+attempt)%len(c.clients)].ConfigApply(ctx, request)
		if err == nil && (response.Outcome == peer.ConfigApplied || response.Outcome == peer.ConfigUnchanged) {
			c.runner.generator.recordLatency(latencyConfigApply, time.Since(start))
			c.updateResult(func(r *ConfigResult) { r.Applied++ })
			c.awaitInForce(ctx, response.Generation)
			return
		}
		request.Retry = true
	}
	c.updateResult(func(r *ConfigResult) { r.Failed++ })
}

// awaitInForce waits until the given generation of the configuration is in force at all controllers,
// for at most inForceTimeout.
func (c *configChanger) awaitInForce(ctx context.Context, generation uint64) {
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
	c.runner.generator.recordLatency(latencyConfigInForce, time.Since(start))
	c.updateResult(func(r *ConfigResult) { r.InForce++ })
}

// updateResult calls f on the result with the lock held.
func (c *configChanger) updateResult(f func(*ConfigResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.result)
}

// collectConfigResult waits for the result of the configuration changes and adds it to the report. It is
// called after the load has stopped.
func (r *runner) collectConfigResult() {
	if r.spec.Counts.ConfigPerS <= 0 {
		return
	}
	select {
	case result := <-r.configResults:
		for i := range r.site.NumControllers() {
			if metrics, err := r.site.Metrics(i); err == nil {
				result.RejectedBatches += int(metrics["dalefront_config_refused_batches"])
			}
		}
		r.report.Config = &result
	case <-time.After(inForceTimeout + time.Minute):
		r.report.invalidate("changes of configuration did not end")
	}
}
