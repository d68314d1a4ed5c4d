// Command foxtailload sends requests to foxtailpass at times that are scheduled in advance (open-loop load)
// and reports latencies, refusals and the completeness of answers.
//
// Exit codes: 0 on success; 1 on a failure; 2 on invalid flags or arguments, or on a scenario that cannot be read
// or is not valid.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/load"
	"github.com/foxtailpass/foxtailpass/internal/program"
	"github.com/urfave/cli/v3"
)

// errUsage marks invalid flags and arguments, and scenarios that cannot be read or are not valid.
var errUsage = errors.New("invalid usage or scenario")

func main() { os.Exit(program.Main("foxtailload", newCommand, errUsage)) }

func newCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:    "foxtailload",
		Usage:   "generate open-loop load and compare reports",
		Version: program.Version(),
		Commands: []*cli.Command{
			runCommand(logger), benchCommand(logger), compareCommand(),
			runExperimentCommand(), experimentSeriesCommand(logger), summarizeCommand(), simulateCommand(),
		},
	}
}

func reportFlag() cli.Flag {
	return &cli.StringFlag{Name: "report", Usage: "write the report as JSON to `file`"}
}

func runCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run a scenario file",
		ArgsUsage: "scenario.json",
		Flags: []cli.Flag{
			reportFlag(),
			&cli.StringSliceFlag{Name: "target", Usage: "replace the targets of the scenario; may be repeated"},
			&cli.Uint64Flag{Name: "seed", Usage: "replace the seed of the scenario"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("%w: expected one scenario file", errUsage)
			}
			s, err := load.ReadScenario(c.Args().First(), c.StringSlice("target")...)
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if c.IsSet("seed") {
				s.Seed = c.Uint64("seed")
			}
			return runScenario(ctx, logger, s, c.String("report"))
		},
	}
}

func benchCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "send requests of one kind at a constant mean rate",
		Flags: []cli.Flag{
			reportFlag(),
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "address at which a host serves callers, host:port; may be repeated"},
			&cli.StringFlag{Name: "key", Usage: "caller key"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "model name"},
			&cli.Float64Flag{Name: "rate", Value: 100, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time for which requests are sent"},
			&cli.StringFlag{Name: "arrivals", Value: load.ArrivalsPoisson, Usage: "poisson or constant"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the schedule"},
			&cli.BoolFlag{Name: "stream", Usage: "request answers as event streams"},
			&cli.IntFlag{Name: "prompt-tokens", Value: 16, Usage: "tokens of each prompt"},
			&cli.IntFlag{Name: "output-tokens", Value: 16, Usage: "tokens of each answer"},
			&cli.StringFlag{Name: "class", Usage: "class of the requests: interactive or patient"},
			&cli.Int64Flag{Name: "deadline-ms", Usage: "deadline of each request"},
			&cli.BoolFlag{Name: "check", Usage: "check that each answer is the text that the engine stand-in generates for the request"},
			&cli.BoolFlag{Name: "precise", Usage: "busy-wait for the send times; takes one core"},
			&cli.Float64Flag{Name: "limit-rate", Usage: "tokens per second of the workspace, to detect wrong refusals"},
			&cli.Float64Flag{Name: "limit-burst", Usage: "burst tokens of the workspace, to detect wrong refusals"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runScenario(ctx, logger, benchScenario(c), c.String("report"))
		},
	}
}

func benchScenario(c *cli.Command) load.Scenario {
	const workspace entity.WorkspaceID = "bench"
	s := load.Scenario{
		Name:            "bench",
		Seed:            c.Uint64("seed"),
		DurationSeconds: c.Duration("duration").Seconds(),
		Targets:         c.StringSlice("target"),
		CheckAnswers:    c.Bool("check"),
		Precise:         c.Bool("precise"),
		// The one RequestClass describes all requests; its field Class is their priority class
		// at the hosts: interactive or patient.
		Classes: []load.RequestClass{{
			Name:           "bench",
			Workspace:      workspace,
			Key:            c.String("key"),
			Arrivals:       load.Arrivals{Kind: c.String("arrivals"), RatePerSecond: c.Float64("rate")},
			Models:         []string{c.String("model")},
			PromptTokens:   load.Range{Min: c.Int("prompt-tokens")},
			OutputTokens:   load.Range{Min: c.Int("output-tokens")},
			Stream:         c.Bool("stream"),
			Class:          c.String("class"),
			DeadlineMillis: c.Int64("deadline-ms"),
		}},
	}
	if c.IsSet("limit-rate") || c.IsSet("limit-burst") {
		s.Workspaces = map[entity.WorkspaceID]load.Rate{
			workspace: {TokensPerSecond: c.Float64("limit-rate"), BurstTokens: c.Float64("limit-burst")},
		}
	}
	return s
}

// runScenario runs a scenario, prints its report and writes the report to file unless that is empty.
func runScenario(ctx context.Context, logger *log.Logger, s load.Scenario, file string) error {
	if err := s.Check(); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	logger.Info("Sending requests.", "scenario", s.Name, "targets", len(s.Targets), "duration_s", s.DurationSeconds)
	report, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if file == "" {
		return nil
	}
	return report.Write(file)
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "print two reports side by side",
		ArgsUsage: "a.json b.json",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return fmt.Errorf("%w: expected two report files", errUsage)
			}
			if areExperiments, err := compareExperiments(c.Args().Get(0), c.Args().Get(1)); areExperiments || err != nil {
				return err
			}
			a, err := load.ReadReport(c.Args().Get(0))
			if err != nil {
				return err
			}
			b, err := load.ReadReport(c.Args().Get(1))
			if err != nil {
				return err
			}
			return load.Compare(os.Stdout, a, b)
		},
	}
}
