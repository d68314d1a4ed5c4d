package limits

import (
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// sweepInterval is how often all accounts are checked for share changes.
	sweepInterval = 500 * time.Millisecond
	// releaseInterval is the least time between two releases of one host.
	releaseInterval = 2 * time.Second
	// leastMove is the smallest release or claim, in units (1 %).
	leastMove = TotalUnits / 100
	// largestMove bounds a release, because released units are idle until they are claimed (10 %).
	largestMove = TotalUnits / 10
	// leftoverAfter is how long units stay unallocated before hosts at their target take them too.
	leftoverAfter = 2 * time.Second
	// demandAge is the age above which a peer's demand stops releases.
	demandAge = 3 * time.Second
	// equalParts is the inverse of the part of the shares that is spread evenly (50 %). It bounds
	// what is lost with the busiest host: with 20 % its kill at 80 % load caused 1.08 % wrong refusals.
	equalParts = 2
	// conflictSpread is the time per live host over which concurrent writers are spread.
	conflictSpread = 3 * time.Millisecond
	// writeBackoff delays the next write after a failed one.
	writeBackoff = time.Second
)

// share is the state of one workspace's share record.
type share struct {
	known bool
	rec   Record
	// rev is the revision of rec; zero while the key is absent.
	rev int64
	// got and given are what this process has credited and deducted for its entry.
	got, given float64
	// parting is the level at Stop; it goes into the record with the units.
	parting  float64
	inFlight map[uint64]*write
	// unknownUnits and unknownWitnesses cover writes on top of rev that may have taken effect.
	unknown          bool
	unknownUnits     int64
	unknownWitnesses [][]Witness

	retryAt     time.Time
	wanted      bool
	nextRelease time.Time
	// freeSince is when unallocated units were first seen.
	freeSince time.Time
}

// write is a WriteRecords command whose result has not arrived.
type write struct {
	base int64
	rec  Record
}

func (t *Throttler) sortedAccounts() []*account {
	set := make(map[*account]struct{}, len(t.accounts))
	for _, a := range t.accounts {
		set[a] = struct{}{}
	}
	return sorted(set)
}

// HandleRecord takes a version of a workspace's share record; nil means that the key is absent.
// Versions that are older than the known one are ignored.
func (t *Throttler) HandleRecord(workspace entity.WorkspaceID, pair *kvstore.Pair, now time.Time) []command.Command {
	a := t.account(workspace)
	if pair == nil {
		if a.share.rev > 0 {
			return nil
		}
		if !a.share.known {
			a.share.known = true
			a.share.rec = Record{Unissued: TotalUnits}
			t.planSoon(a, now)
		}
		return nil
	}
	rec, err := parseRecord(pair.Value)
	if err != nil {
		// An unreadable record gives no right to units; it is also never overwritten.
		rec = Record{}
	}
	if pair.ModRevision > a.share.rev {
		t.adopt(a, rec, pair.ModRevision, now)
		t.planSoon(a, now)
	}
	return t.serve(a, now)
}

// planSoon checks the account at a later tick. The delay is random and in proportion to the
// number of hosts, because all of them see a new version at the same time.
func (t *Throttler) planSoon(a *account, now time.Time) {
	at := now.Add(t.jitter(time.Duration(len(t.term.hosts)) * conflictSpread))
	if at.After(a.share.retryAt) {
		a.share.retryAt = at
	}
	a.share.wanted = true
	t.active[a] = struct{}{}
}

// adopt makes a version of the record the known one. Writes on top of an older version can no
// longer take effect: either they are part of this version or they failed.
func (t *Throttler) adopt(a *account, rec Record, rev int64, now time.Time) {
	s := &a.share
	if rev <= s.rev {
		return
	}
	s.known, s.rec, s.rev = true, rec, rev
	s.unknown, s.unknownWitnesses = false, nil
	for id, w := range s.inFlight {
		if w.base < rev {
			delete(s.inFlight, id)
		}
	}
	t.noteHolders(a, now)
	t.reconcile(a, now)
}

// reconcile sets the usable units to the least that any possible state of the record gives, and
// credits tokens that the record shows as received or as not given.
func (t *Throttler) reconcile(a *account, now time.Time) {
	s := &a.share
	own := s.rec.holder(t.opt.Incarnation)
	if own == nil {
		a.setUnits(0, now)
		s.got, s.given = 0, 0
		return
	}
	units := own.Units
	if s.unknown {
		units = min(units, s.unknownUnits)
	}
	for _, w := range s.inFlight {
		units = min(units, w.units(t.opt.Incarnation))
	}
	a.setUnits(units, now)
	a.advance(now)
	if own.Received > s.got {
		a.credit(own.Received - s.got)
	}
	s.got = own.Received
	if len(s.inFlight) > 0 || s.unknown {
		return
	}
	if s.given > own.Given {
		a.credit(s.given - own.Given)
	}
	s.given = own.Given
}

func (w *write) units(inc entity.Incarnation) int64 {
	if h := w.rec.holder(inc); h != nil {
		return h.Units
	}
	return 0
}

// HandleWriteResult takes the result of a WriteRecords command of this Throttler.
func (t *Throttler) HandleWriteResult(id uint64, result kvstore.TxnResult, err error, now time.Time) []command.Command {
	a := t.writes[id]
	if a == nil {
		return nil
	}
	delete(t.writes, id)
	s := &a.share
	w := s.inFlight[id]
	delete(s.inFlight, id)
	s.wanted = true
	t.active[a] = struct{}{}
	switch {
	case err != nil && !errors.Is(err, kvstore.ErrUnavailable):
		if w != nil {
			s.addUnknown(w, t.opt.Incarnation)
		}
		s.retryAt = now.Add(t.jitter(writeBackoff))
	case err != nil:
		s.retryAt = now.Add(t.jitter(writeBackoff))
	case result.Succeeded:
		if w != nil {
			t.adopt(a, w.rec, result.Revision, now)
		}
	default:
		// Concurrent writers are spread out in proportion to their number.
		t.planSoon(a, now)
		if len(result.Gets) > 0 && result.Gets[0] != nil {
			return t.HandleRecord(a.id, result.Gets[0], now)
		}
	}
	t.reconcile(a, now)
	return append(t.serve(a, now), t.plan(a, now)...)
}

// addUnknown merges a write that may have taken effect into the pessimistic state.
func (s *share) addUnknown(w *write, inc entity.Incarnation) {
	units := w.units(inc)
	if !s.unknown || units < s.unknownUnits {
		s.unknownUnits = units
	}
	s.unknown = true
	h := w.rec.holder(inc)
	if h == nil {
		return
	}
	same := func(set []Witness) bool { return slices.Equal(set, h.Witnesses) }
	if !slices.ContainsFunc(s.unknownWitnesses, same) {
		s.unknownWitnesses = append(s.unknownWitnesses, h.Witnesses)
	}
}

// jitter returns a random duration between half of d and d.
func (t *Throttler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(t.opt.Rand.Float64()*float64(d/2))
}

// sweep checks all accounts for share changes.
func (t *Throttler) sweep(now time.Time) []command.Command {
	var out []command.Command
	for _, a := range t.sortedAccounts() {
		out = append(out, t.fenceWitnesses(a, now)...)
		out = append(out, t.plan(a, now)...)
	}
	return out
}

// write sends the next version. Units and tokens that it gives away are unusable from now on.
func (t *Throttler) write(a *account, next Record, compares []kvstore.Compare, now time.Time) []command.Command {
	s := &a.share
	id := t.newID()
	next.Attempt = string(t.opt.Incarnation) + "-" + strconv.FormatUint(id, 10)
	value, err := json.Marshal(next)
	if err != nil {
		panic("limits: share record cannot be encoded: " + err.Error())
	}
	key := Key(a.id)
	compares = append(compares, kvstore.Unchanged(key, s.rev))
	if s.inFlight == nil {
		s.inFlight = map[uint64]*write{}
	}
	s.inFlight[id] = &write{base: s.rev, rec: next}
	t.writes[id] = a
	t.reconcile(a, now)
	return []command.Command{command.WriteRecords{ID: id, Txn: kvstore.Txn{
		Compares: compares,
		Success:  []kvstore.Op{kvstore.Put(key, value)},
		Failure:  []kvstore.Op{{Kind: kvstore.OpGet, Key: key}},
	}}}
}

// Stop releases all units for a graceful shutdown and refuses waiting requests. Units that cover
// outstanding loans are released by Tick when the loans have expired. The host should be
// registered as stopping first, because registered live hosts keep a part of the shares.
func (t *Throttler) Stop(now time.Time) []command.Command {
	t.stopping = true
	var out []command.Command
	for _, a := range t.sortedAccounts() {
		for _, w := range a.waiting {
			out = append(out, refuse(w.id, 503, "stopping", "This host is stopping.", time.Second)...)
		}
		a.waiting = nil
		a.advance(now)
		a.share.parting = a.level
		a.share.wanted = true
		t.active[a] = struct{}{}
		out = append(out, t.plan(a, now)...)
	}
	return out
}

// Released says whether a stopping host holds no units any more.
func (t *Throttler) Released() bool {
	for _, a := range t.accounts {
		if a.share.rec.holder(t.opt.Incarnation) != nil {
			return false
		}
	}
	return t.stopping
}

// AccountStatus describes one workspace for operators.
type AccountStatus struct {
	Workspace           entity.WorkspaceID
	Rate, Burst         float64
	Units               int64
	Level               float64
	Lent, Borrowed      float64
	Waiting             int
	Usable              bool
	UnissuedUnits, Free int64
	Holders             []Holder
}

// Status returns the state of all workspaces, ordered by name.
func (t *Throttler) Status(now time.Time) []AccountStatus {
	var out []AccountStatus
	for _, a := range t.sortedAccounts() {
		a.advance(now)
		out = append(out, AccountStatus{
			Workspace: a.id, Rate: a.rate, Burst: a.burst, Units: a.units, Level: a.level,
			Lent: a.outstanding, Borrowed: a.borrowedTokens(), Waiting: len(a.waiting),
			Usable: t.usable(a, now), UnissuedUnits: a.share.rec.Unissued, Free: a.share.rec.Free,
			Holders: slices.Clone(a.share.rec.Holders),
		})
	}
	return out
}
