package limits

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// newThrottlerWithPeer returns the Throttler of host "a". Hosts "a" and "b" each hold half of the units with
// a full level.
func newThrottlerWithPeer(t *testing.T, now time.Time) *Throttler {
	th := New(Options{Self: "a", Incarnation: "a1", Addr: "a:1", Rand: rand.New(rand.NewPCG(1, 1))})
	th.HandleSite(&config.Site{Document: config.Document{Workspaces: map[entity.WorkspaceID]config.Workspace{
		"w": {RateTokensPerSecond: 10, BurstTokens: 1000},
	}}}, now)
	th.HandleHosts([]config.HostRecord{{ID: "a", Incarnation: "a1", PeerAddr: "a:1"}, {ID: "b", Incarnation: "b1", PeerAddr: "b:1"}}, now)
	th.HandleLease(now.Add(leaseTTL), now)
	rec := Record{Holders: []Holder{
		{Host: "a", Incarnation: "a1", Addr: "a:1", Units: TotalUnits / 2, Received: 500, Epoch: 1, Witnesses: []Witness{{"b", "b1", "b:1"}}},
		{Host: "b", Incarnation: "b1", Addr: "b:1", Units: TotalUnits / 2, Received: 500, Epoch: 1},
	}}
	value, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	th.HandleRecord("w", &kvstore.Pair{Value: value, ModRevision: 5}, now)
	return th
}

func isAdmitted(th *Throttler, id string, tokens float64, now time.Time) bool {
	for _, c := range th.Request(Admission{ID: entity.RequestID(id), Workspace: "w", Tokens: tokens}, now) {
		if _, ok := c.(command.Admit); ok {
			return true
		}
	}
	return false
}

// TestLapsedLeaseNeedsConfirmation guards against a resumed host that uses units which other hosts have
// reclaimed. This could happen when its lease is renewed before it receives the current record.
func TestLapsedLeaseNeedsConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	th := newThrottlerWithPeer(t, now)
	if !isAdmitted(th, "1", 100, now) {
		t.Fatal("request not admitted within the lease")
	}
	now = now.Add(leaseTTL)
	if isAdmitted(th, "2", 1, now) {
		t.Error("admitted after the lease ended, want a refusal")
	}
	th.HandleLease(now.Add(leaseTTL), now)
	if isAdmitted(th, "3", 1, now) {
		t.Error("admitted before the units were confirmed")
	}
	now = now.Add(time.Second)
	for _, c := range th.Tick(now) {
		if w, ok := c.(command.WriteRecords); ok {
			th.HandleWriteResult(w.ID, kvstore.TxnResult{Succeeded: true, Revision: 6}, nil, now)
		}
	}
	if !isAdmitted(th, "4", 1, now) {
		t.Error("not admitted after the units were confirmed")
	}
}

// TestWitnessTerm guards against a host that uses its units after its witnesses' answers have expired, or
// that stops using them during an outage although the witnesses answer.
func TestWitnessTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	th := newThrottlerWithPeer(t, now)
	now = now.Add(2 * leaseTTL)
	th.HandleHeartbeatAnswer("b", "b2", now)
	if isAdmitted(th, "1", 1, now) {
		t.Error("admitted by the answer of a process that is not a witness")
	}
	th.HandleHeartbeatAnswer("b", "b1", now)
	if !isAdmitted(th, "2", 1, now.Add(WitnessTerm-1)) {
		t.Error("not admitted within the witness term")
	}
	if isAdmitted(th, "3", 1, now.Add(WitnessTerm)) {
		t.Error("admitted after the witness term")
	}
	now = now.Add(MaxTimeWithoutLease)
	th.HandleHeartbeatAnswer("b", "b1", now)
	if isAdmitted(th, "4", 1, now) {
		t.Error("admitted after MaxTimeWithoutLease")
	}
}

// TestLoanTerm guards against a borrower that counts the term of a loan from the arrival of the grant instead of from
// its loan request, and so spends tokens after the lender has taken them back.
func TestLoanTerm(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, LoanTerm - loanMargin} {
		now := time.Unix(1000, 0)
		th := newThrottlerWithPeer(t, now)
		th.HandlePeerLevels("b", nil, now)
		out := th.Request(Admission{ID: "1", Workspace: "w", Tokens: 800}, now)
		loanRequest := out[0].(command.SendPeer).Message.(*wire.LoanRequest)
		now = now.Add(delay)
		th.HandleMessage("b", "b1", &wire.LoanGrant{ID: loanRequest.ID, Workspace: "w", Tokens: loanRequest.Tokens}, now)
		want := delay < loanWait
		if got := len(th.charges) == 1; got != want {
			t.Errorf("grant after %v: admitted %v, want %v", delay, got, want)
		}
		if borrowed := th.accounts["w"].borrowedTokens(); !want && borrowed > 0 {
			t.Errorf("grant after %v: kept %v expired tokens, want none", delay, borrowed)
		}
	}
}

// TestRefusals guards against refusals with a wrong status or code, or without a retry time.
func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	th := newThrottlerWithPeer(t, now)
	refusal := func(a Admission) entity.Refusal {
		return th.Request(a, now)[0].(command.Refuse).Refusal
	}
	if r := refusal(Admission{ID: "1", Workspace: "w", Tokens: 1001}); r.Status != 413 || r.Code != "exceeds_burst" {
		t.Errorf("above burst: %+v, want 413 exceeds_burst", r)
	}
	if r := refusal(Admission{ID: "2", Workspace: "other", Tokens: 1}); r.Status != 403 {
		t.Errorf("unknown workspace: %+v, want status 403", r)
	}
	// The peer has sent no heartbeat, so only 500 tokens are known. The missing 100 accrue at 10 per second.
	r := refusal(Admission{ID: "3", Workspace: "w", Tokens: 600})
	if r.Status != 429 || r.RetryAfter < 9*time.Second || r.RetryAfter > 10*time.Second {
		t.Errorf("rate limited: %+v, want status 429 and a retry after 9 to 10 s", r)
	}
}

// TestRefundNeverAboveCapacity guards against refunds that raise a level above the capacity, also when Settle
// is called twice.
func TestRefundNeverAboveCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	th := newThrottlerWithPeer(t, now)
	isAdmitted(th, "1", 100, now)
	now = now.Add(5 * time.Second)
	th.Settle("1", 0, now)
	th.Settle("1", 0, now)
	if level := th.accounts["w"].level; level != 500 {
		t.Errorf("level %v after refunds, want 500", level)
	}
}

// TestLenderCapacity guards against a lender that accrues the lent tokens again during the loan term, or
// that credits returned tokens after the term.
func TestLenderCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	th := newThrottlerWithPeer(t, now)
	a := th.accounts["w"]
	lend := func(id uint64) {
		th.HandleMessage("b", "b1", &wire.LoanRequest{ID: id, Workspace: "w", Tokens: 1}, now)
	}
	level := func() float64 { a.advance(now); return a.level }
	lend(1)
	now = now.Add(LoanTerm - 1)
	if level() != 499 {
		t.Errorf("level %v within the loan term, want 499", a.level)
	}
	th.HandleMessage("b", "b1", &wire.LoanReturn{ID: 1, Workspace: "w", Tokens: 0.5}, now)
	th.HandleMessage("b", "b1", &wire.LoanReturn{ID: 1, Workspace: "w", Tokens: 0.5}, now)
	if level() != 499.5 {
		t.Errorf("level %v after two returns of one loan, want 499.5", a.level)
	}
	lend(2)
	now = now.Add(LoanTerm)
	before := level()
	th.HandleMessage("b", "b1", &wire.LoanReturn{ID: 2, Workspace: "w", Tokens: 1}, now)
	if level() != before {
		t.Errorf("level %v after a return past the term, want %v", a.level, before)
	}
}

// TestReclaimComparesRegistration guards against reclaiming units, based on a stale copy of the registry,
// from a host that has registered again.
func TestReclaimComparesRegistration(t *testing.T) {
	now := time.Unix(1000, 0)
	th := newThrottlerWithPeer(t, now)
	th.HandleHosts([]config.HostRecord{{ID: "a", Incarnation: "a1", PeerAddr: "a:1"}}, now)
	now = now.Add(2 * MaxTimeWithoutLease)
	th.HandleLease(now.Add(leaseTTL), now)
	now = now.Add(time.Second)
	for _, c := range th.Tick(now) {
		w, ok := c.(command.WriteRecords)
		if !ok {
			continue
		}
		if w.Txn.Compares[0] != kvstore.Absent(config.HostsPrefix+"b") {
			t.Errorf("compares %+v do not cover the registration", w.Txn.Compares)
		}
		return
	}
	t.Error("no units reclaimed after MaxTimeWithoutLease")
}

// TestReclaimWaitsForLoans guards against reclaiming units while loans that their terminated holder granted
// at the end of its term can still be spent.
func TestReclaimWaitsForLoans(t *testing.T) {
	now := time.Unix(1000, 0)
	th := newThrottlerWithPeer(t, now)
	terminated := th.accounts["w"].share.rec.Holders[1]
	th.HandleHosts([]config.HostRecord{{ID: "a", Incarnation: "a1", PeerAddr: "a:1"}, {ID: "b", Incarnation: "b2", PeerAddr: "b:1"}}, now)
	if th.term.isTermOver(terminated, now.Add(LoanTerm)) {
		t.Error("reclaimed within the loan term")
	}
	if !th.term.isTermOver(terminated, now.Add(loanGracePeriod)) {
		t.Error("not reclaimed after the loan term")
	}
}

// TestRequestWaitsForSlowPeer guards against refusals within the rate because the machine of a peer is busy.
// The peer either answers a loan request after 200 ms instead of a few milliseconds, or gets a second request
// after its next heartbeat. Without the longer wait, TestRateBound on a loaded machine saw 3 to 8 of 400
// requests of a workspace within its rate refused.
func TestRequestWaitsForSlowPeer(t *testing.T) {
	for _, heartbeat := range []bool{false, true} {
		now := time.Unix(1000, 0)
		th := newThrottlerWithPeer(t, now)
		th.HandlePeerLevels("b", nil, now)
		out := th.Request(Admission{ID: "1", Workspace: "w", Tokens: 800, Deadline: now.Add(3 * time.Second)}, now)
		loanRequest := out[0].(command.SendPeer).Message.(*wire.LoanRequest)
		answerAt, answered := now.Add(200*time.Millisecond), false
		if heartbeat {
			answerAt = now.Add(520 * time.Millisecond)
		}
		for end := now.Add(700 * time.Millisecond); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if heartbeat && now.Equal(time.Unix(1000, 0).Add(500*time.Millisecond)) {
				th.HandlePeerLevels("b", []wire.WorkspaceLevel{{Workspace: "w", Level: 500}}, now)
			}
			cmds := th.Tick(now)
			if !answered && !now.Before(answerAt) {
				answered = true
				cmds = append(cmds, th.HandleMessage("b", "b1", &wire.LoanGrant{ID: loanRequest.ID, Workspace: "w", Tokens: loanRequest.Tokens}, now)...)
			}
			for _, c := range cmds {
				switch c := c.(type) {
				case command.Refuse:
					t.Fatalf("heartbeat received %v: refused at %s", heartbeat, now.Sub(time.Unix(1000, 0)))
				case command.SendPeer:
					if again, ok := c.Message.(*wire.LoanRequest); ok {
						loanRequest = again
					}
				}
			}
		}
		if len(th.charges) != 1 {
			t.Errorf("heartbeat received %v: request not admitted within 700 ms, want it admitted", heartbeat)
		}
	}
}
