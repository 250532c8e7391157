package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"dalefront/internal/config"
	"dalefront/internal/peer"
)

// configClient talks to the controllers of a site about their configuration.
type configClient struct {
	settings    *config.Settings
	controllers []labeledClient // the one that the settings are of comes first
}

// labeledClient is a connection to a controller.
type labeledClient struct {
	label string
	*peer.Client
}

// dialControllers connects to all controllers that the settings name.
func dialControllers(flags *globalFlags) (*configClient, error) {
	if flags.settings == "" {
		return nil, errors.New("--config is missing: the settings of any controller")
	}
	settings, err := config.Load(flags.settings, flags.operator)
	if err != nil {
		return nil, err
	}
	client := &configClient{settings: settings}
	self := config.Member{Label: settings.Label, Addr: settings.PeerAddr}
	for _, member := range append([]config.Member{self}, settings.Members...) {
		connection, err := peer.Dial(member.Addr)
		if err != nil {
			client.close()
			return nil, err
		}
		client.controllers = append(client.controllers, labeledClient{member.Label, connection})
	}
	return client, nil
}

func (c *configClient) close() {
	for _, controller := range c.controllers {
		_ = controller.Close()
	}
}

// runWithControllers is the body of a command that needs the controllers.
type runWithControllers func(cmd *cobra.Command, client *configClient, args []string) error

// withControllers connects to the controllers before a command's body, and names the command in
// its error.
func withControllers(flags *globalFlags, run runWithControllers) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		client, err := dialControllers(flags)
		if err == nil {
			defer client.close()
			err = run(cmd, client, args)
		}
		if err != nil {
			return fmt.Errorf("config %s: %w", cmd.Name(), err)
		}
		return nil
	}
}

// apply asks the controllers one after the other, under one request ID, until one gives an answer.
func (c *configClient) apply(ctx context.Context, request *peer.ConfigApplyRequest) (*peer.ConfigApplyResponse, error) {
	var lastErr error
	for _, controller := range c.controllers {
		controller.ResetBackoff()
		response, err := controller.ConfigApply(ctx, request)
		if err == nil {
			if response.Outcome != peer.ConfigUnknown && response.Outcome != peer.ConfigRefused {
				return response, nil
			}
			err = errors.New(response.Reason)
		}
		// It may have been carried out, or may yet be: the next one looks for it first.
		request.Retry, lastErr = true, err
	}
	return nil, &exitError{exitUnavailable, fmt.Errorf("no controller could say that it is applied (%w): config history shows whether %s is; with --if-generation it can be repeated safely", lastErr, request.ID)}
}

// read asks the controllers one after the other until one can read the configuration.
func (c *configClient) read(ctx context.Context, history bool) (*peer.ConfigReadResponse, error) {
	var lastErr error
	for _, controller := range c.controllers {
		controller.ResetBackoff()
		response, err := controller.ConfigRead(ctx, &peer.ConfigReadRequest{History: history})
		if err == nil {
			if response.Reason == "" {
				return response, nil
			}
			err = errors.New(response.Reason)
		}
		lastErr = err
	}
	return nil, &exitError{exitUnavailable, fmt.Errorf("no controller can read the configuration: %w", lastErr)}
}

// controllerConfig is the configuration that a controller decides by.
type controllerConfig struct {
	Label      string     `json:"label"`
	Answers    bool       `json:"answers"`
	Known      bool       `json:"known"`
	Generation uint64     `json:"generation"`
	Since      *time.Time `json:"since"`
	Unusable   []string   `json:"not_usable,omitempty"`
}

// status asks every controller what it decides by.
func (c *configClient) status(ctx context.Context) []controllerConfig {
	all := make([]controllerConfig, len(c.controllers))
	for i, controller := range c.controllers {
		all[i].Label = controller.label
		controller.ResetBackoff()
		response, err := controller.ConfigStatus(ctx)
		if err != nil {
			continue
		}
		since := time.UnixMicro(response.ActiveSince).UTC()
		all[i] = controllerConfig{
			Label:      controller.label,
			Answers:    true,
			Known:      response.Loaded,
			Generation: response.Generation,
			Since:      &since,
			Unusable:   response.UnusableDocuments,
		}
	}
	return all
}
