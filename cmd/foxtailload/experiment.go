package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/experiment"
)

func examplesFlag() cli.Flag {
	return &cli.StringFlag{Name: "examples", Value: "examples", Usage: "`directory` of the example configurations"}
}

func siteFlag() cli.Flag {
	return &cli.StringFlag{Name: "site", Value: experiment.Sites[0], Usage: strings.Join(experiment.Sites, " or ")}
}

func runExperimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "run one experiment with a whole site in this process: " + strings.Join(experiment.Names, ", "),
		ArgsUsage: "name",
		Flags: []cli.Flag{
			examplesFlag(), siteFlag(), reportFlag(),
			&cli.StringFlag{Name: "policy", Value: experiment.Policies[0], Usage: strings.Join(experiment.Policies, ", ")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load, the balancer and the checkpoints"},
			&cli.BoolFlag{Name: "log", Usage: "print warnings of the hosts"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("%w: expected one experiment", errUsage)
			}
			run := experiment.Config{
				Experiment: c.Args().First(), Site: c.String("site"), Policy: c.String("policy"),
				Seed: c.Uint64("seed"), Examples: c.String("examples"),
			}
			if c.Bool("log") {
				run.Log = os.Stderr
			}
			r, err := runExperiment(ctx, run)
			if err != nil {
				return err
			}
			if err := experiment.Print(os.Stdout, r); err != nil {
				return err
			}
			if file := c.String("report"); file != "" {
				return r.Write(file)
			}
			return nil
		},
	}
}

func runExperiment(ctx context.Context, c experiment.Config) (*experiment.Report, error) {
	r, err := experiment.Run(ctx, c)
	if errors.Is(err, experiment.ErrUnknown) {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return r, err
}

func experimentSeriesCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:  "experiments",
		Usage: "run experiments with several seeds and policies and print ratios to the first policy",
		Flags: []cli.Flag{
			examplesFlag(), siteFlag(),
			&cli.StringSliceFlag{Name: "names", Value: experiment.Names, Usage: "experiments to run"},
			&cli.StringSliceFlag{Name: "seeds", Value: []string{"1", "2", "3"}, Usage: "seeds"},
			&cli.StringSliceFlag{Name: "policies", Value: []string{"default"}, Usage: "policies; the ratios compare each policy with the first"},
			&cli.StringFlag{Name: "reports", Usage: "write each report into this `directory`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			reports, err := runExperiments(ctx, logger, c)
			// The results of the completed runs are printed even if a later run failed.
			return errors.Join(experiment.Summarize(os.Stdout, reports), err)
		},
	}
}

func runExperiments(ctx context.Context, logger *log.Logger, c *cli.Command) ([]*experiment.Report, error) {
	var reports []*experiment.Report
	for _, name := range c.StringSlice("names") {
		for _, policy := range c.StringSlice("policies") {
			for _, seed := range c.StringSlice("seeds") {
				n, err := strconv.ParseUint(seed, 10, 64)
				if err != nil {
					return reports, fmt.Errorf("%w: seed %q is not an unsigned 64-bit integer", errUsage, seed)
				}
				r, err := runExperiment(ctx, experiment.Config{
					Experiment: name, Site: c.String("site"), Policy: policy, Seed: n, Examples: c.String("examples"),
				})
				if err != nil {
					return reports, fmt.Errorf("%s, policy %s, seed %d: %w", name, policy, n, err)
				}
				logger.Info("Experiment done.", "name", name, "policy", policy, "seed", n, "load_average", r.LoadAverage)
				reports = append(reports, r)
				if dir := c.String("reports"); dir != "" {
					file := fmt.Sprintf("%s-%s-%s-%d.json", r.Site, name, policy, n)
					if err := r.Write(filepath.Join(dir, file)); err != nil {
						return reports, err
					}
				}
			}
		}
	}
	return reports, nil
}

func summarizeCommand() *cli.Command {
	return &cli.Command{
		Name:      "summarize",
		Usage:     "print the ratios between policies from reports of experiments",
		ArgsUsage: "report.json...",
		Action: func(_ context.Context, c *cli.Command) error {
			var reports []*experiment.Report
			for _, file := range c.Args().Slice() {
				r, err := experiment.ReadReport(file)
				if err != nil {
					return err
				}
				if r == nil {
					return fmt.Errorf("%w: %s is not the report of an experiment", errUsage, file)
				}
				reports = append(reports, r)
			}
			return experiment.Summarize(os.Stdout, reports)
		},
	}
}

// compareExperiments prints two reports of experiments. It returns false if one of the files is not such a
// report.
func compareExperiments(a, b string) (bool, error) {
	ra, err := experiment.ReadReport(a)
	if err != nil || ra == nil {
		return false, err
	}
	rb, err := experiment.ReadReport(b)
	if err != nil || rb == nil {
		return false, err
	}
	return true, experiment.Print(os.Stdout, ra, rb)
}
