package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"

	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/daysim"
)

func simulateCommand() *cli.Command {
	days, policies, sites := simulationNames()
	return &cli.Command{
		Name:  "simulate",
		Usage: "simulate a site under shortened days of load and faults and compare policies over seeds",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "sites", Value: sites, Usage: "simulated sites"},
			&cli.StringSliceFlag{Name: "days", Value: days, Usage: "simulated days"},
			&cli.StringSliceFlag{Name: "policies", Value: policies, Usage: "policies; the report prints the difference of each policy to the first"},
			&cli.StringSliceFlag{Name: "seeds", Value: []string{"1", "2", "3", "4", "5"}, Usage: "seeds"},
			&cli.IntFlag{Name: "parallel", Value: max(1, runtime.NumCPU()/2), Usage: "`number` of simulations that run at once"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			runs, err := listSimulations(c)
			if err != nil {
				return err
			}
			return daysim.Print(os.Stdout, runSimulations(runs, c.Int("parallel")))
		},
	}
}

func simulationNames() (days, policies, sites []string) {
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

// simulation is one day of a site that is simulated with a policy and a seed.
type simulation struct {
	site   daysim.Site
	day    daysim.Day
	policy daysim.Policy
	seed   uint64
}

// listSimulations returns the simulations that the flags select. Those of the same site, day and policy are
// adjacent.
func listSimulations(c *cli.Command) ([]simulation, error) {
	seeds, err := parseSeeds(c.StringSlice("seeds"))
	if err != nil {
		return nil, err
	}
	var runs []simulation
	for _, siteName := range c.StringSlice("sites") {
		site, siteOK := daysim.SiteNamed(siteName)
		for _, dayName := range c.StringSlice("days") {
			day, dayOK := daysim.DayNamed(dayName)
			for _, policyName := range c.StringSlice("policies") {
				policy, policyOK := daysim.PolicyNamed(policyName)
				if !siteOK || !dayOK || !policyOK {
					return nil, fmt.Errorf("%w: at least one of site %q, day %q and policy %q is unknown", errUsage, siteName, dayName, policyName)
				}
				for _, seed := range seeds {
					runs = append(runs, simulation{site: site, day: day, policy: policy, seed: seed})
				}
			}
		}
	}
	return runs, nil
}

func parseSeeds(texts []string) ([]uint64, error) {
	seeds := make([]uint64, 0, len(texts))
	for _, text := range texts {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%w: seed %q is not an unsigned 64-bit integer", errUsage, text)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// runSimulations runs the simulations, up to parallel at once, and returns the results in the order of runs.
func runSimulations(runs []simulation, parallel int) []*daysim.Result {
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
