// Package program contains what the command line tools have in common: signal handling, exit codes and the
// version.
package program

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"
)

// Exit codes of the tools.
const (
	ExitFailure  = 1
	ExitSettings = 2
)

// Main runs the tool with the given name and returns its exit code: 0 on success, ExitSettings for an error that
// is or wraps the settings argument, and ExitFailure for any other error. The first SIGTERM or SIGINT cancels
// the context of the command. The second one terminates the process.
func Main(name string, build func(*log.Logger) *cli.Command, settings error) int {
	logger := log.NewWithOptions(os.Stderr, log.Options{Prefix: name, ReportTimestamp: true})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Restore the default signal handling after the first signal.
	context.AfterFunc(ctx, stop)
	err := build(logger).Run(ctx, os.Args)
	if err == nil {
		return 0
	}
	logger.Error("Command failed.", "err", err)
	if errors.Is(err, settings) {
		return ExitSettings
	}
	return ExitFailure
}

// Version returns the module version that the build recorded in the binary, or "unknown" if the binary contains
// no build information.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
