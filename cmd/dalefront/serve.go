package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dalefront/internal/config"
	"dalefront/internal/controller"
)

// Values of --log-format.
const (
	logFormatText = "text"
	logFormatJSON = "json"
)

// serve runs a controller until it fails or a signal makes it shut down.
func serve(flags *globalFlags, logFormat string) error {
	settings, err := config.Load(flags.settingsFile, flags.operatorFile)
	if err != nil {
		return err
	}
	handler, err := newLogHandler(os.Stderr, logFormat, os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	setMemoryLimit(&settings.Deployment.Resources)
	ctrl, err := controller.New(settings, slog.New(handler))
	if err != nil {
		return err
	}
	stop := handleSignals(ctrl)
	defer stop()
	return ctrl.Run(context.Background())
}

// newLogHandler returns the handler for a log format. An unknown level selects the level info.
func newLogHandler(out io.Writer, format, levelName string) (slog.Handler, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(levelName)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	switch format {
	case logFormatText:
		return slog.NewTextHandler(out, options), nil
	case logFormatJSON:
		return slog.NewJSONHandler(out, options), nil
	}
	return nil, fmt.Errorf("--log-format: %q is neither text nor json", format)
}

const (
	// gcPercent makes garbage collections rarer than by default, because CPU time is scarcer than memory.
	gcPercent = 400
	// memoryLimitShare is the share of the process's RAM that becomes the memory limit of the Go runtime. Above
	// this limit the runtime collects garbage more often. The limit is below the RAM because the platform kills
	// a process that exceeds its RAM.
	memoryLimitShare = 0.6
)

// setMemoryLimit configures the garbage collector for a process that may use the given resources.
func setMemoryLimit(resources *config.Resources) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(resources.MemoryBytes(memoryLimitShare))
}

// handleSignals makes the controller drain on the first SIGTERM or interrupt, and transfer leadership on each
// SIGUSR1. The returned function stop ends the goroutines that handle the signals. It keeps the signals
// registered, so that a signal that arrives later doesn't terminate the process by its default action.
func handleSignals(ctrl *controller.Controller) (stop func()) {
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGTERM, os.Interrupt)
	transfer := make(chan os.Signal, 1)
	signal.Notify(transfer, syscall.SIGUSR1)
	done := make(chan struct{})
	go func() {
		select {
		case <-drain:
			signal.Stop(drain) // a second signal terminates the process
			ctrl.Drain()
		case <-done:
		}
	}()
	go func() {
		for {
			select {
			case <-transfer:
				ctrl.TransferLeadership()
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
