package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/experiment"
)

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure what one host on one core adds to calls of a warm model",
		Flags: []cli.Flag{
			reportFlag(),
			&cli.StringFlag{Name: "host-binary", Value: "bin/foxtailpass", Usage: "foxtailpass program; started with GOMAXPROCS=1"},
			&cli.DurationFlag{Name: "duration", Value: 8 * time.Second, Usage: "length of each measurement"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "direct and through the host in turn"},
			&cli.Float64Flag{Name: "share", Value: 0.5, Usage: "share of the saturating load that the rounds send"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the schedule"},
			&cli.BoolFlag{Name: "stream", Usage: "ask for event streams"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := experiment.Overhead(ctx, experiment.OverheadConfig{
				Binary: c.String("host-binary"), Duration: c.Duration("duration"), Rounds: c.Int("rounds"), Share: c.Float64("share"),
				Seed: c.Uint64("seed"), Stream: c.Bool("stream"),
			})
			if err != nil {
				return err
			}
			if file := c.String("report"); file != "" {
				data, err := json.MarshalIndent(r, "", "  ")
				if err != nil {
					return err
				}
				if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
					return err
				}
			}
			return r.Print(os.Stdout)
		},
	}
}
