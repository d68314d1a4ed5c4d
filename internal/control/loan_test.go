package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/limits"
	"github.com/foxtailpass/foxtailpass/internal/placement"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// newUnconfiguredCore returns the control state of host "h1" without configuration.
func newUnconfiguredCore(rng *rand.Rand) *Core {
	return NewCore(Options{
		Self:      "h1",
		Throttler: limits.New(limits.Options{Self: "h1", Incarnation: "i1", Addr: "a1", Rand: rng}),
		Scheduler: func(readyIn func(schedule.PoolID, time.Time) (time.Duration, bool)) *schedule.Scheduler {
			return schedule.New(schedule.Options{Rand: rng, ReadyIn: readyIn})
		},
		Placer: placement.New(placement.Options{Self: "h1", Incarnation: "i1", Rand: rng}),
	})
}

// Guards against a returned loan that does not reach the lender's ledger. The lender then could not use the tokens
// until the loan expires.
func TestLoanReturnReachesLedger(t *testing.T) {
	now := time.Unix(100, 0)
	c := newUnconfiguredCore(rand.New(rand.NewPCG(1, 2)))
	c.Handle(SiteChanged{Site: &config.Site{Document: config.Document{Workspaces: map[entity.WorkspaceID]config.Workspace{
		"w": {RateTokensPerSecond: 1, BurstTokens: 100},
	}}}}, now)
	rec := limits.Record{Holders: []limits.Holder{{
		Host: "h1", Incarnation: "i1", Addr: "a1", Units: limits.TotalUnits, Received: 100, Epoch: 1,
	}}}
	c.Handle(LeaseRenewed{ValidUntil: now.Add(time.Minute)}, now)
	c.Handle(ViewChanged{Changes: []KeyChange{
		recordChange(config.HostsPrefix+"h1", config.HostRecord{Incarnation: "i1", PeerAddr: "a1", State: config.HostLive}, 1),
		recordChange(config.HostsPrefix+"h2", config.HostRecord{Incarnation: "i2", PeerAddr: "a2", State: config.HostLive}, 2),
		recordChange(limits.RecordKey("w"), rec, 3),
	}}, now)
	from := func(m wire.Message) PeerMessage { return PeerMessage{From: "h2", Incarnation: "i2", Message: m} }
	c.Handle(from(&wire.LoanRequest{ID: 1, Workspace: "w", Tokens: 40}), now)
	if lent := c.Status(now).Limits[0].Lent; lent != 40 {
		t.Fatalf("%v tokens are lent, want 40", lent)
	}
	c.Handle(from(&wire.LoanReturn{ID: 1, Workspace: "w", Tokens: 30}), now)
	if s := c.Status(now).Limits[0]; s.Lent != 0 || s.Level != 90 {
		t.Errorf("after the return: %v tokens are lent and the level is %v, want 0 and 90", s.Lent, s.Level)
	}
}
