// Command foxtailedge is an entry host for the users' platform, whose protocols and key-value store it uses. It
// serves callers, forwards their requests to model engines and plain services, and coordinates with the other
// entry hosts.
//
// Exit codes: 0 after a graceful stop or a successful --check; 1 on a failure; 2 on wrong usage or on settings
// that cannot be read or are not valid.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"
	"go.uber.org/dig"

	"github.com/foxtailpass/foxtailpass/internal/edge"
	"github.com/foxtailpass/foxtailpass/internal/logsink"
	"github.com/foxtailpass/foxtailpass/internal/metrics"
	"github.com/foxtailpass/foxtailpass/internal/settings"
	"github.com/foxtailpass/foxtailpass/platform"
)

// The exit codes.
const (
	exitOK = iota
	exitFailure
	exitUsage
)

// version is set by the linker for releases.
var version = "dev"

// errUsage marks errors of the command line and settings files that cannot be read or are not valid.
var errUsage = errors.New("wrong usage or settings")

// gcPercent keeps the heap small, because the platform bills peak memory. The live heap is only a few MB.
const gcPercent = 60

// logFlushTimeout limits the time for writing the last log lines at the end of the process.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(run(os.Args, os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	err := command(stdout).Run(context.Background(), args)
	if err == nil {
		return exitOK
	}
	log.NewWithOptions(stderr, log.Options{Prefix: "foxtailedge"}).Error("Stopped with an error.", "err", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailure
}

func command(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:    "foxtailedge",
		Usage:   "serve callers of the users' platform as one of its entry hosts",
		Version: version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON settings `file`; default: the file that the platform specifies"},
			&cli.IntFlag{Name: "file-descriptors", Usage: "open descriptors that the process may have, instead of file_descriptors in the settings; `number`, at least 256"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				path = platform.SettingsPath()
			}
			s, err := settings.Load[edge.Settings](path)
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if c.IsSet("file-descriptors") {
				s.FileDescriptors = c.Int("file-descriptors")
				if s.FileDescriptors < edge.MinFileDescriptors {
					return fmt.Errorf("%w: --file-descriptors is %d (allowed: at least %d)", errUsage, s.FileDescriptors, edge.MinFileDescriptors)
				}
			}
			if c.Bool("check") {
				return nil
			}
			return serve(s, path, stdout)
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return fmt.Errorf("%w: %w", errUsage, err)
		},
	}
}

// serve runs the host. The first SIGTERM or SIGINT begins its graceful stop, and serve returns when the host
// has stopped.
func serve(s edge.Settings, path string, stdout io.Writer) error {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(s.RuntimeMemoryLimit())
	}
	c := dig.New()
	for _, p := range providers(s, stdout) {
		if err := c.Provide(p); err != nil {
			return fmt.Errorf("dependency injection: %w", err)
		}
	}
	return dig.RootCause(c.Invoke(func(h *edge.Host, l *slog.Logger, level *slog.LevelVar, sink *logsink.Sink) error {
		defer sink.Close(logFlushTimeout)
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		go reloadOnSIGHUP(ctx, path, l, level)
		return h.Run(ctx)
	}))
}

// providers returns the constructors of the host and of everything that it depends on.
func providers(s edge.Settings, stdout io.Writer) []any {
	return []any{
		func() *logsink.Sink { return logsink.New(stdout) },
		func(sink *logsink.Sink) (*slog.Logger, *slog.LevelVar, error) { return edge.NewLogger(sink, s.Log) },
		metrics.New,
		func(l *slog.Logger) edge.Store { return platform.NewStore(s.Store.Addr, s.Store.Timeout.Std(), l) },
		func() edge.Protocol { return platform.New() },
		func(l *slog.Logger, sink *logsink.Sink, m *metrics.Metrics, st edge.Store, p edge.Protocol) (*edge.Host, error) {
			return edge.New(edge.Options{Settings: s, Store: st, Protocol: p, Metrics: m, Log: l, LogDropped: sink.Dropped, Version: version})
		},
	}
}

// reloadOnSIGHUP reads the settings again at each SIGHUP. Only the log level changes while the process runs;
// other changes take effect at the next start.
func reloadOnSIGHUP(ctx context.Context, path string, l *slog.Logger, level *slog.LevelVar) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		s, err := settings.Load[edge.Settings](path)
		if err != nil {
			l.Error("Settings not reloaded.", "err", err)
			continue
		}
		if err := edge.SetLevel(level, s.Log); err != nil {
			l.Error("Settings not reloaded.", "err", err)
			continue
		}
		l.Info("Settings reloaded.", "level", s.Log.Level)
	}
}
