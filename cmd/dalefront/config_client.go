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

// configClient sends requests about the dynamic configuration to the controllers of a site.
type configClient struct {
	settings    *config.Settings
	controllers []labeledClient // the controller to which the settings belong comes first
}

// labeledClient is a connection to a controller, with the controller's label.
type labeledClient struct {
	label string
	*peer.Client
}

// dialControllers connects to all controllers in the settings.
func dialControllers(flags *globalFlags) (*configClient, error) {
	if flags.settingsFile == "" {
		return nil, errors.New("--config is missing: the settings of any controller")
	}
	settings, err := config.Load(flags.settingsFile, flags.operatorFile)
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

// configCommand is the implementation of a command that needs connections to the controllers.
type configCommand func(cmd *cobra.Command, client *configClient, args []string) error

// withControllers returns a cobra RunE function that connects to the controllers and calls run. Its errors
// start with the name of the command.
func withControllers(flags *globalFlags, run configCommand) func(*cobra.Command, []string) error {
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

// apply sends the request to one controller after the other, with the same ID, until one reports its outcome.
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
		// The request may have been carried out, or still be carried out later. Retry makes the next controller
		// check first whether the request was carried out.
		request.Retry, lastErr = true, err
	}
	return nil, &exitError{exitUnavailable, fmt.Errorf("no controller confirmed the change (%w): config history shows whether %s was applied; with --if-generation the command can be repeated safely", lastErr, request.ID)}
}

// read sends a read request to one controller after the other until one returns the configuration.
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

// controllerStatus is the state of the configuration on a controller, as `config status --json` prints it.
type controllerStatus struct {
	Label             string     `json:"label"`
	Responded         bool       `json:"answers"`
	Loaded            bool       `json:"known"`
	Generation        uint64     `json:"generation"`
	Since             *time.Time `json:"since"`
	UnusableDocuments []string   `json:"not_usable,omitempty"`
}

// status requests the state of the configuration from every controller.
func (c *configClient) status(ctx context.Context) []controllerStatus {
	statuses := make([]controllerStatus, len(c.controllers))
	for i, controller := range c.controllers {
		statuses[i].Label = controller.label
		controller.ResetBackoff()
		response, err := controller.ConfigStatus(ctx)
		if err != nil {
			continue
		}
		since := time.UnixMicro(response.ActiveSince).UTC()
		statuses[i] = controllerStatus{
			Label:             controller.label,
			Responded:         true,
			Loaded:            response.Loaded,
			Generation:        response.Generation,
			Since:             &since,
			UnusableDocuments: response.UnusableDocuments,
		}
	}
	return statuses
}
