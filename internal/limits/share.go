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
	// sweepInterval is how often all accounts are checked for needed changes of their units.
	sweepInterval = 500 * time.Millisecond
	// releaseInterval is the minimum time between two releases by one host.
	releaseInterval = 2 * time.Second
	// minUnitMove is the smallest number of units (1 %) that a host releases, or takes to reach its target.
	minUnitMove = TotalUnits / 100
	// maxUnitMove bounds the units of one release (10 %), because nobody can use released units until a host
	// takes them. It does not apply while another host has no units.
	maxUnitMove = TotalUnits / 10
	// leftoverDelay is how long units stay unallocated before hosts that have reached their target take
	// them too.
	leftoverDelay = 2 * time.Second
	// maxDemandAge is the age from which a peer's demand is ignored. Units are released only when the demand of
	// all peers is newer.
	maxDemandAge = 3 * time.Second
	// evenShareDivisor is the inverse of the fraction of the units that is spread evenly over the hosts (50 %).
	// The rest follows demand. The even part bounds what is lost when the busiest host fails: with 20 %, its
	// failure at 80 % load caused 1.08 % wrong refusals.
	evenShareDivisor = 2
	// conflictSpread is the time per live host over which hosts spread their writes to avoid conflicts.
	conflictSpread = 3 * time.Millisecond
	// writeBackoff delays the next write after a failed one.
	writeBackoff = time.Second
)

// share is the local state of one workspace's share record.
type share struct {
	// recordKnown is set once the record has been read or found absent.
	recordKnown bool
	rec         Record
	// rev is the revision of rec; zero while the key is absent.
	rev int64
	// credited and deducted are the tokens that this process has added to its level and taken from it
	// for its entry. They correspond to Received and Given of the entry.
	credited, deducted float64
	// levelAtStop is the level when Stop was called. It is released together with the units.
	levelAtStop float64
	// inFlight holds the writes whose result has not arrived, by command ID.
	inFlight map[uint64]*write
	// outcomeUnknown is set while it is unknown whether a write that replaces version rev has taken effect.
	// unknownUnits is the smallest number of units that such writes give this host, and unknownWitnesses holds
	// the witness lists that they give it.
	outcomeUnknown   bool
	unknownUnits     int64
	unknownWitnesses [][]Witness

	// planAfter is the earliest time of the next write. planPending makes Tick call planWrite.
	planAfter   time.Time
	planPending bool
	// nextRelease is the earliest time of the next release.
	nextRelease time.Time
	// unallocatedSince is when this host first observed the units that are unallocated now.
	unallocatedSince time.Time
}

// write is a WriteRecords command whose result has not arrived.
type write struct {
	baseRev int64
	rec     Record
}

func (t *Throttler) sortedAccounts() []*account {
	set := make(map[*account]struct{}, len(t.accounts))
	for _, a := range t.accounts {
		set[a] = struct{}{}
	}
	return sortAccounts(set)
}

// HandleRecord applies a version of a workspace's share record; nil means that the key is absent. It
// ignores a version that is not newer than the known one.
func (t *Throttler) HandleRecord(workspace entity.WorkspaceID, pair *kvstore.Pair, now time.Time) []command.Command {
	a := t.account(workspace)
	if pair == nil {
		if a.share.rev > 0 {
			return nil
		}
		if !a.share.recordKnown {
			a.share.recordKnown = true
			a.share.rec = Record{Unissued: TotalUnits}
			t.planSoon(a, now)
		}
		return nil
	}
	rec, err := parseRecord(pair.Value)
	if err != nil {
		// This host may not use any units under an unreadable record, and it never overwrites one.
		rec = Record{}
	}
	if pair.ModRevision > a.share.rev {
		t.adoptRecord(a, rec, pair.ModRevision, now)
		t.planSoon(a, now)
	}
	return t.serveWaiting(a, now)
}

// planSoon schedules planWrite for a later tick. The delay is random and proportional to the number of
// hosts, because all of them observe a new version at the same time and their writes would conflict.
func (t *Throttler) planSoon(a *account, now time.Time) {
	at := now.Add(t.jitter(time.Duration(len(t.term.hosts)) * conflictSpread))
	if at.After(a.share.planAfter) {
		a.share.planAfter = at
	}
	a.share.planPending = true
	t.active[a] = struct{}{}
}

// adoptRecord makes a version of the record the known one. Writes that were to replace an older version can no
// longer take effect: they either are included in this version or have failed.
func (t *Throttler) adoptRecord(a *account, rec Record, rev int64, now time.Time) {
	s := &a.share
	if rev <= s.rev {
		return
	}
	s.recordKnown, s.rec, s.rev = true, rec, rev
	s.outcomeUnknown, s.unknownWitnesses = false, nil
	for id, w := range s.inFlight {
		if w.baseRev < rev {
			delete(s.inFlight, id)
		}
	}
	t.recordAbsentHolders(a, now)
	t.reconcile(a, now)
}

// reconcile sets the usable units to the minimum over all versions that the record may now have: the known one and
// those of writes that are in flight or have an unknown outcome. It credits tokens that the known version shows as
// received. Once no such write is left, it refunds deducted tokens that the known version does not show as given.
func (t *Throttler) reconcile(a *account, now time.Time) {
	s := &a.share
	own := s.rec.holder(t.opt.Incarnation)
	if own == nil {
		a.setUnits(0, now)
		s.credited, s.deducted = 0, 0
		return
	}
	units := own.Units
	if s.outcomeUnknown {
		units = min(units, s.unknownUnits)
	}
	for _, w := range s.inFlight {
		units = min(units, w.units(t.opt.Incarnation))
	}
	a.setUnits(units, now)
	a.advance(now)
	if own.Received > s.credited {
		a.credit(own.Received - s.credited)
	}
	s.credited = own.Received
	if len(s.inFlight) > 0 || s.outcomeUnknown {
		return
	}
	if s.deducted > own.Given {
		a.credit(s.deducted - own.Given)
	}
	s.deducted = own.Given
}

// units returns the units that the write gives to the incarnation.
func (w *write) units(inc entity.Incarnation) int64 {
	if h := w.rec.holder(inc); h != nil {
		return h.Units
	}
	return 0
}

// HandleWriteResult handles the result of a WriteRecords command of this Throttler.
func (t *Throttler) HandleWriteResult(id uint64, result kvstore.TxnResult, err error, now time.Time) []command.Command {
	a := t.writes[id]
	if a == nil {
		return nil
	}
	delete(t.writes, id)
	s := &a.share
	w := s.inFlight[id]
	delete(s.inFlight, id)
	s.planPending = true
	t.active[a] = struct{}{}
	switch {
	case err != nil && !errors.Is(err, kvstore.ErrUnavailable):
		if w != nil {
			s.addUnknownWrite(w, t.opt.Incarnation)
		}
		s.planAfter = now.Add(t.jitter(writeBackoff))
	case err != nil:
		s.planAfter = now.Add(t.jitter(writeBackoff))
	case result.Succeeded:
		if w != nil {
			t.adoptRecord(a, w.rec, result.Revision, now)
		}
	default:
		// Another host wrote first; planSoon spreads out the writers that try again.
		t.planSoon(a, now)
		if len(result.Gets) > 0 && result.Gets[0] != nil {
			return t.HandleRecord(a.id, result.Gets[0], now)
		}
	}
	t.reconcile(a, now)
	return append(t.serveWaiting(a, now), t.planWrite(a, now)...)
}

// addUnknownWrite records a write that may have taken effect, so that reconcile and mayUseUnits assume
// the less favorable outcome.
func (s *share) addUnknownWrite(w *write, inc entity.Incarnation) {
	units := w.units(inc)
	if !s.outcomeUnknown || units < s.unknownUnits {
		s.unknownUnits = units
	}
	s.outcomeUnknown = true
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

// sweep requests fences and plans record writes for all accounts.
func (t *Throttler) sweep(now time.Time) []command.Command {
	var out []command.Command
	for _, a := range t.sortedAccounts() {
		out = append(out, t.requestFences(a, now)...)
		out = append(out, t.planWrite(a, now)...)
	}
	return out
}

// write returns the command that writes the next version of the record. This host can no longer use the units and
// tokens that the version releases, even before the result of the write is known.
func (t *Throttler) write(a *account, next Record, compares []kvstore.Compare, now time.Time) []command.Command {
	s := &a.share
	id := t.newID()
	next.Attempt = string(t.opt.Incarnation) + "-" + strconv.FormatUint(id, 10)
	value, err := json.Marshal(next)
	if err != nil {
		panic("limits: share record cannot be encoded: " + err.Error())
	}
	key := RecordKey(a.id)
	compares = append(compares, kvstore.Unchanged(key, s.rev))
	if s.inFlight == nil {
		s.inFlight = map[uint64]*write{}
	}
	s.inFlight[id] = &write{baseRev: s.rev, rec: next}
	t.writes[id] = a
	t.reconcile(a, now)
	return []command.Command{command.WriteRecords{ID: id, Txn: kvstore.Txn{
		Compares: compares,
		Success:  []kvstore.Op{kvstore.Put(key, value)},
		Failure:  []kvstore.Op{{Kind: kvstore.OpGet, Key: key}},
	}}}
}

// Stop refuses waiting requests and releases all units for a graceful shutdown. The units of a workspace
// with outstanding loans are released by Tick when the loans have ended. The host should be registered
// as stopping first, because the other hosts leave a share of the units to every registered host that is not
// stopping.
func (t *Throttler) Stop(now time.Time) []command.Command {
	t.stopping = true
	var out []command.Command
	for _, a := range t.sortedAccounts() {
		for _, w := range a.waiting {
			out = append(out, refuse(w.id, 503, "stopping", "This host is stopping.", time.Second)...)
		}
		a.waiting = nil
		a.advance(now)
		a.share.levelAtStop = a.level
		a.share.planPending = true
		t.active[a] = struct{}{}
		out = append(out, t.planWrite(a, now)...)
	}
	return out
}

// Released reports whether this host is stopping and no longer holds units.
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
			Usable: t.mayUseUnits(a, now), UnissuedUnits: a.share.rec.Unissued, Free: a.share.rec.Free,
			Holders: slices.Clone(a.share.rec.Holders),
		})
	}
	return out
}
