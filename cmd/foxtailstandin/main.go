// Command foxtailstandin runs stand-ins for the systems that foxtailpass depends on: the platform, model
// engines and plain services. The command demo runs them together with two hosts as a whole site. The program is
// only meant for tests and trials.
//
// Exit codes: 0 after a graceful stop; 1 on a failure while running; 2 on invalid flags or settings, or when the
// platform stand-in cannot listen on its address.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/program"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/urfave/cli/v3"
)

const (
	// stopTimeout limits the wait for running requests in a graceful stop.
	stopTimeout = 60 * time.Second
)

// errSettings marks errors in flags and settings files, and a listen address that the platform stand-in cannot use.
var errSettings = errors.New("invalid settings")

func main() { os.Exit(program.Main("foxtailstandin", newCommand, errSettings)) }

func newCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:     "foxtailstandin",
		Usage:    "run stand-ins for the platform, model engines and plain services",
		Version:  program.Version(),
		Commands: []*cli.Command{platformCommand(logger), engineCommand(logger), serviceCommand(logger), demoCommand(logger)},
	}
}

func engineCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run model engines that share one weight store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `file` with weight_store and engines; the other flags are ignored"},
			&cli.StringFlag{Name: "id", Value: "engine-1", Usage: "upstream ID"},
			&cli.StringFlag{Name: "addr", Value: "127.0.0.1:0", Usage: "listen address"},
			&cli.Int64Flag{Name: "memory-bytes", Usage: "memory for models and adapters (default 80 GiB)"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with an outdated fencing token"},
			&cli.IntFlag{Name: "slots", Usage: "number of requests that a replica can run at once (default 8)"},
			&cli.DurationFlag{Name: "token-interval", Usage: "time per generated token"},
			&cli.DurationFlag{Name: "prefill-per-token", Usage: "time per prompt token that is not cached"},
			&cli.DurationFlag{Name: "report-lag", Usage: "age of the reported state"},
			&cli.Float64Flag{Name: "time-scale", Value: 1, Usage: "factor for load times"},
			&cli.StringSliceFlag{Name: "loaded", Usage: "`model` that is loaded at the start; may be repeated"},
			&cli.IntFlag{Name: "received-limit", Usage: "number of requests that are recorded (default 4096, -1 for none)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := engineSettings(c)
			if err != nil {
				return err
			}
			return runEngines(ctx, logger, s)
		},
	}
}

func engineSettings(c *cli.Command) (engine.Settings, error) {
	var s engine.Settings
	if file := c.String("settings"); file != "" {
		if err := readSettings(file, &s); err != nil {
			return s, err
		}
	} else {
		s = engineFlags(c)
	}
	if err := s.Validate(); err != nil {
		return s, fmt.Errorf("%w: %w", errSettings, err)
	}
	return s, nil
}

// preloadedModelBytes is the size of each model that the flag --loaded names, because the flag gives no size.
const preloadedModelBytes = 1 << 30

func engineFlags(c *cli.Command) engine.Settings {
	loaded := map[entity.ModelID]int64{}
	for _, m := range c.StringSlice("loaded") {
		loaded[entity.ModelID(m)] = preloadedModelBytes
	}
	return engine.Settings{
		WeightStore: engine.WeightStoreSettings{TimeScale: c.Float64("time-scale")},
		Engines: []engine.EngineSettings{{
			ID:                 entity.UpstreamID(c.String("id")),
			Addr:               c.String("addr"),
			MemoryBytes:        c.Int64("memory-bytes"),
			ChecksFence:        c.Bool("checks-fence"),
			Slots:              c.Int("slots"),
			TokenMicros:        c.Duration("token-interval").Microseconds(),
			PrefillTokenMicros: c.Duration("prefill-per-token").Microseconds(),
			ReportLagMillis:    c.Duration("report-lag").Milliseconds(),
			ReceivedLimit:      c.Int("received-limit"),
			Loaded:             loaded,
		}},
	}
}

func readSettings(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("%w: %w", errSettings, err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("%w: %s: %w", errSettings, file, err)
	}
	return nil
}

// standIn is the common interface of engine and service stand-ins.
type standIn interface {
	Start(addr string) error
	Addr() string
	ID() entity.UpstreamID
	Shutdown(ctx context.Context) error
}

func runEngines(ctx context.Context, logger *log.Logger, s engine.Settings) error {
	store := engine.NewWeightStore(s.WeightStore.Options())
	var running []standIn
	for _, es := range s.Engines {
		e := engine.New(es.Options(store))
		if err := startAt(e, es.Addr); err != nil {
			return err
		}
		for m, b := range es.Loaded {
			if err := e.Preload(m, b); err != nil {
				return err
			}
		}
		printReady("engine", e)
		running = append(running, e)
	}
	return waitAndStop(ctx, logger, running)
}

// startAt starts a stand-in at addr, or at a free port if addr is empty.
func startAt(s standIn, addr string) error {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	return s.Start(addr)
}

// printReady prints the line to standard output that reports a stand-in as ready.
func printReady(kind string, s standIn) { fmt.Printf("%s %s ready at %s\n", kind, s.ID(), s.Addr()) }

// waitAndStop waits until ctx ends and then shuts down all stand-ins gracefully and in parallel.
func waitAndStop(ctx context.Context, logger *log.Logger, running []standIn) error {
	<-ctx.Done()
	logger.Info("Stopping after running requests have ended.", "stand_ins", len(running))
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	results := make(chan error, len(running))
	for _, s := range running {
		go func() { results <- s.Shutdown(stopCtx) }()
	}
	var errs []error
	for range running {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

// serviceSettings is the JSON form of one or more services.
type serviceSettings struct {
	Services []serviceEntry `json:"services"`
}

// serviceEntry is the JSON form of one service.
type serviceEntry struct {
	ID            entity.UpstreamID `json:"id"`
	Kind          string            `json:"kind"`
	Addr          string            `json:"addr"`
	OrderField    string            `json:"order_field"`
	WorkMillis    int64             `json:"work_ms"`
	ReceivedLimit int               `json:"received_limit"`
}

func (s serviceSettings) validate() error {
	var errs []error
	if len(s.Services) == 0 {
		errs = append(errs, errors.New("services: at least one is required"))
	}
	for i, one := range s.Services {
		if one.ID == "" {
			errs = append(errs, fmt.Errorf("services[%d].id: is empty", i))
		}
		if one.WorkMillis < 0 {
			errs = append(errs, fmt.Errorf("services[%d].work_ms: %d is negative", i, one.WorkMillis))
		}
	}
	return errors.Join(errs...)
}

func serviceCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run plain services that count every run",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `file` with services; the other flags are ignored"},
			&cli.StringFlag{Name: "id", Value: "service-1", Usage: "upstream ID"},
			&cli.StringFlag{Name: "kind", Value: "service", Usage: "upstream kind"},
			&cli.StringFlag{Name: "addr", Value: "127.0.0.1:0", Usage: "listen address"},
			&cli.StringFlag{Name: "order-field", Value: "order", Usage: "body field that names the order"},
			&cli.DurationFlag{Name: "work-time", Usage: "time that each run takes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := serviceSettings{Services: []serviceEntry{{
				ID:         entity.UpstreamID(c.String("id")),
				Kind:       c.String("kind"),
				Addr:       c.String("addr"),
				OrderField: c.String("order-field"),
				WorkMillis: c.Duration("work-time").Milliseconds(),
			}}}
			if file := c.String("settings"); file != "" {
				s = serviceSettings{}
				if err := readSettings(file, &s); err != nil {
					return err
				}
			}
			if err := s.validate(); err != nil {
				return fmt.Errorf("%w: %w", errSettings, err)
			}
			return runServices(ctx, logger, s)
		},
	}
}

func runServices(ctx context.Context, logger *log.Logger, s serviceSettings) error {
	var running []standIn
	for _, one := range s.Services {
		sv := service.New(service.Options{
			ID: one.ID, Kind: one.Kind, OrderField: one.OrderField,
			WorkTime:      time.Duration(one.WorkMillis) * time.Millisecond,
			ReceivedLimit: one.ReceivedLimit,
		})
		if err := startAt(sv, one.Addr); err != nil {
			return err
		}
		printReady("service", sv)
		running = append(running, sv)
	}
	return waitAndStop(ctx, logger, running)
}
