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

// defaultHandoverWait is the default time limit within which another controller must become leader.
const defaultHandoverWait = 20 * time.Second

// newHandoverCommand returns the command that transfers leadership. It works on any machine that can reach the
// controllers.
func newHandoverCommand(flags *globalFlags) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "handover", Short: "Let another controller become leader; nothing that runs is stopped", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return handOver(cmd, flags, wait) },
	}
	cmd.Flags().DurationVar(&wait, "wait", defaultHandoverWait, "for another controller to act")
	return cmd
}

// handOver makes the leader transfer its leadership, and prints which controller is leader now.
func handOver(cmd *cobra.Command, flags *globalFlags, wait time.Duration) error {
	if flags.settingsFile == "" {
		return errors.New("handover: --config is missing: the settings of any controller")
	}
	if wait <= 0 {
		return errors.New("handover: --wait must be above 0")
	}
	settings, err := config.Load(flags.settingsFile, flags.operatorFile)
	if err != nil {
		return err
	}
	addresses := []string{settings.PeerAddr}
	for _, member := range settings.Members {
		addresses = append(addresses, member.Addr)
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	change, err := peer.ChangeLeader(ctx, addresses)
	if err != nil {
		err = fmt.Errorf("handover: %w", err)
		if errors.Is(err, peer.ErrNoLeader) || errors.Is(err, peer.ErrNoNewLeader) {
			return &exitError{exitUnavailable, err}
		}
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s handed the term over: %s acts as leader under token %d after %v\n",
		change.From, change.To, change.Token, change.Duration.Round(time.Millisecond))
	return nil
}
