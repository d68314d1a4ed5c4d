package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"

	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/daysim"
)

func simulateCommand() *cli.Command {
	days, policies, sites := simulateNames()
	return &cli.Command{
		Name:  "simulate",
		Usage: "play small days of an entry site in simulated time and compare policies over seeds",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "sites", Value: sites, Usage: "sites"},
			&cli.StringSliceFlag{Name: "days", Value: days, Usage: "days"},
			&cli.StringSliceFlag{Name: "policies", Value: policies, Usage: "policies; differences relate to the first"},
			&cli.StringSliceFlag{Name: "seeds", Value: []string{"1", "2", "3", "4", "5"}, Usage: "seeds"},
			&cli.IntFlag{Name: "parallel", Value: max(1, runtime.NumCPU()/2), Usage: "`number` of days that are played at once"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			runs, err := simulateRuns(c)
			if err != nil {
				return err
			}
			return daysim.Print(os.Stdout, simulateAll(runs, c.Int("parallel")))
		},
	}
}

func simulateNames() (days, policies, sites []string) {
	for _, d := range daysim.Days {
		days = append(days, d.Name)
	}
	for _, p := range daysim.Policies {
		policies = append(policies, p.Name)
	}
	for _, s := range daysim.Sites {
		sites = append(sites, s.Name)
	}
	return days, policies, sites
}

type simulation struct {
	site   daysim.Site
	day    daysim.Day
	policy daysim.Policy
	seed   uint64
}

func simulateRuns(c *cli.Command) ([]simulation, error) {
	var runs []simulation
	for _, site := range c.StringSlice("sites") {
		s := slices.IndexFunc(daysim.Sites, func(x daysim.Site) bool { return x.Name == site })
		for _, day := range c.StringSlice("days") {
			d := slices.IndexFunc(daysim.Days, func(x daysim.Day) bool { return x.Name == day })
			for _, policy := range c.StringSlice("policies") {
				p := slices.IndexFunc(daysim.Policies, func(x daysim.Policy) bool { return x.Name == policy })
				if s < 0 || d < 0 || p < 0 {
					return nil, fmt.Errorf("%w: no site %q, day %q or policy %q", errUsage, site, day, policy)
				}
				for _, text := range c.StringSlice("seeds") {
					seed, err := strconv.ParseUint(text, 10, 64)
					if err != nil {
						return nil, fmt.Errorf("%w: seed %q", errUsage, text)
					}
					runs = append(runs, simulation{site: daysim.Sites[s], day: daysim.Days[d], policy: daysim.Policies[p], seed: seed})
				}
			}
		}
	}
	return runs, nil
}

// simulateAll plays the runs, several at a time, and returns the results in their order.
func simulateAll(runs []simulation, parallel int) []*daysim.Result {
	results := make([]*daysim.Result, len(runs))
	slots := make(chan struct{}, max(1, parallel))
	var wg sync.WaitGroup
	for i, r := range runs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = daysim.Run(r.site, r.day, r.policy, r.seed)
		})
	}
	wg.Wait()
	return results
}
