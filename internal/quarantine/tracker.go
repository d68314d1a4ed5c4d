package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Options configures a Tracker.
type Options struct {
	// Host is this host, and KeyPrefix the prefix of all keys of the installation.
	Host      entity.HostID
	KeyPrefix string
	// Rand is the source of randomness; required.
	Rand *rand.Rand
	// Recent holds the traits that answers have lately shown to be harmless; required.
	Recent *RecentTraits
}

// Tracker is one host's knowledge of suspected and quarantined traits.
type Tracker struct {
	opts  Options
	hosts int
	// pending holds the traits of attempts whose connections ended, until it is known whether their replicas have ended.
	pending map[Instance]*crashRecord
	// crashes holds the records of the ends of replicas by their keys, and probed the quarantined traits that have a
	// record.
	crashes map[string]*crash
	probed  map[Trait]*traitState
	// joint holds the joint records.
	joint map[catalog.ServiceID]*jointState
	// cleared holds the traits that an answer has cleared since the last known end of a replica that made them suspects.
	cleared map[Trait]bool
	// blocked holds the quarantined traits, and watched all traits that may have ended a replica. Both are derived from
	// crashes and probed.
	blocked map[Trait]*blockedTrait
	watched map[Trait]struct{}
	// suspected holds the traits that may have ended several replicas, quarantined or not.
	suspected map[Trait]bool
	changes   []Change
	// mayWrite is set while anything may still have to be written. inFlight holds the writes that have no result yet.
	mayWrite  bool
	inFlight  map[uint64]write
	lastWrite uint64
	// claiming holds the traits whose probe this host is about to claim.
	claiming map[Trait]bool
}

// crash is the record of the end of a replica with what this host has to do about it.
type crash struct {
	crashRecord
	learnedAt time.Time
	// unwritten is set while this host still has to write the record, at writeAt.
	unwritten bool
	writeAt   time.Time
	writing   bool
}

// traitState is the record of a trait with what this host has to do about it.
type traitState struct {
	traitRecord
	revision int64
	// seenAt is when this host learned of the last probe.
	seenAt time.Time
	// lifted is set when this host knows that an answer has cleared the trait. It removes the record at clearAt.
	lifted   bool
	clearAt  time.Time
	clearing bool
	// lost is set when the key-value service has lost the record. This host writes it again at rewriteAt.
	lost      bool
	rewriteAt time.Time
}

// onlyJoint reports whether no request was sent with the trait as the only suspect.
func (q *traitState) onlyJoint() bool { return q.Probes == q.JointProbes }

// blockedTrait is a quarantined trait.
type blockedTrait struct {
	since    time.Time
	replicas []entity.UpstreamID
}

// write is what a write changes: the crash records or the trait.
type write struct {
	crashes []string
	trait   Trait
	joint   catalog.ServiceID
}

// New returns a Tracker without any knowledge.
func New(o Options) *Tracker {
	return &Tracker{
		opts:     o,
		pending:  make(map[Instance]*crashRecord),
		crashes:  make(map[string]*crash),
		probed:   make(map[Trait]*traitState),
		joint:    make(map[catalog.ServiceID]*jointState),
		cleared:  make(map[Trait]bool),
		blocked:  make(map[Trait]*blockedTrait),
		inFlight: make(map[uint64]write),
		claiming: make(map[Trait]bool),
	}
}

// SetHosts sets the number of hosts.
func (t *Tracker) SetHosts(n int) { t.hosts = n }

// Watched returns the traits for which answers must be reported. The map is not modified later.
func (t *Tracker) Watched() map[Trait]struct{} { return t.watched }

// TakeChanges returns the changes of the quarantine since the last call.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// AttemptBroken records an attempt whose connection ended before its answer was complete. It returns true if the caller
// must find out whether the replica has ended, and call Checked.
func (t *Tracker) AttemptBroken(a Attempt) (check bool) {
	r := t.pending[a.Instance]
	if r == nil {
		if len(t.pending) >= maxPending {
			return false
		}
		r = &crashRecord{Service: a.Service, Upstream: a.Instance.Upstream, Born: a.Instance.BornMillis, Host: t.opts.Host}
		t.pending[a.Instance] = r
		check = true
	}
	r.addAttempt(a)
	return check
}

// IsPending reports whether it is not known yet whether a replica has ended.
func (t *Tracker) IsPending(i Instance) bool { return t.pending[i] != nil }

// Checked states whether a replica has ended for which AttemptBroken returned true. It returns whether it made any trait
// a suspect.
func (t *Tracker) Checked(i Instance, ended bool, now time.Time) bool {
	r := t.pending[i]
	delete(t.pending, i)
	if r == nil || !ended {
		return false
	}
	t.removeRecent(r, now)
	key := crashKey(i, t.opts.Host)
	if known := t.crashes[key]; known != nil {
		r.addRecord(known.crashRecord)
	}
	t.addCrash(key, &crash{crashRecord: *r, learnedAt: now, unwritten: true, writeAt: now.Add(settleTime)})
	t.mayWrite = true
	t.update(now)
	return true
}

// removeRecent removes the traits that answers have lately shown to be harmless.
func (t *Tracker) removeRecent(r *crashRecord, now time.Time) {
	r.remove(func(x Trait) bool { return t.opts.Recent.Contains(x, now) })
}

// addCrash adds a record. What was known of its traits before tells nothing about it.
func (t *Tracker) addCrash(key string, c *crash) {
	t.crashes[key] = c
	for _, x := range c.traits() {
		delete(t.cleared, x)
	}
	if len(t.crashes) > maxKnownRecords {
		delete(t.crashes, t.oldestCrash())
	}
}

// oldestCrash returns the key of the record that has been known for the longest time.
func (t *Tracker) oldestCrash() string {
	oldest := ""
	for key, c := range t.crashes {
		if oldest == "" || c.learnedAt.Before(t.crashes[oldest].learnedAt) {
			oldest = key
		}
	}
	return oldest
}

// AnswerBegan records that an answer to a request has begun, which clears the parts of its prompt. probe is set if the
// request was sent as a probe.
func (t *Tracker) AnswerBegan(r Traits, probe bool, now time.Time) { t.acquit(r.ofParts(), probe, now) }

// AnswerCompleted records that an answer to a request has been completed, which clears the request.
func (t *Tracker) AnswerCompleted(r Traits, probe bool, now time.Time) {
	t.acquit(r.ofRequest(), probe, now)
}

// acquit clears traits.
func (t *Tracker) acquit(traits []Trait, probe bool, now time.Time) {
	changed := false
	for _, x := range traits {
		if _, ok := t.watched[x]; !ok {
			continue
		}
		t.clear(x)
		changed = t.clearJoint(x, probe, now) || changed
		changed = t.removeSuspect(x) || changed
		if q := t.probed[x]; q != nil && !q.lifted {
			t.lift(q, probe, now)
			changed = true
		}
	}
	if changed {
		t.update(now)
	}
}

// clear records that an answer has cleared a trait. A full table is emptied: it only spares probes.
func (t *Tracker) clear(x Trait) {
	if len(t.cleared) >= maxCleared {
		clear(t.cleared)
	}
	t.cleared[x] = true
}

// removeSuspect removes a trait from all records of ends of replicas, and reports whether it was in any.
func (t *Tracker) removeSuspect(x Trait) bool {
	isTrait := func(other Trait) bool { return other == x }
	removed := false
	for _, c := range t.crashes {
		removed = c.remove(isTrait) || removed
	}
	for _, r := range t.pending {
		r.remove(isTrait)
	}
	return removed
}

// lift ends the quarantine of a trait at this host, and at all others a little later unless another host is faster.
func (t *Tracker) lift(q *traitState, atOnce bool, now time.Time) {
	q.lifted = true
	t.mayWrite = true
	q.clearAt = t.clearTime(atOnce, now)
}

// clearTime returns when this host writes that an answer has cleared a trait.
func (t *Tracker) clearTime(atOnce bool, now time.Time) time.Time {
	if atOnce {
		return now
	}
	spread := min(time.Duration(t.hosts)*clearDelayPerHost, maxClearDelay)
	return now.Add(time.Duration(t.opts.Rand.Float64() * float64(spread)))
}

// Apply applies changes of the key-value service. It ignores keys of others, and returns an error for each record that
// cannot be read.
func (t *Tracker) Apply(events []kvstore.Event, now time.Time) []error {
	var errs []error
	for _, e := range events {
		key, ours := strings.CutPrefix(e.Pair.Key, t.opts.KeyPrefix)
		var err error
		switch {
		case ours && strings.HasPrefix(key, crashesPrefix):
			err = t.applyCrash(key, e, now)
		case ours && (strings.HasPrefix(key, partsPrefix) || strings.HasPrefix(key, requestsPrefix)):
			err = t.applyTrait(key, e, now)
		case ours && strings.HasPrefix(key, jointPrefix):
			err = t.applyJoint(e, now)
		}
		if err != nil {
			errs = append(errs, err)
		}
	}
	t.update(now)
	return errs
}

func (t *Tracker) applyCrash(key string, e kvstore.Event, now time.Time) error {
	known := t.crashes[key]
	if e.Deleted {
		if known != nil && !known.unwritten {
			delete(t.crashes, key)
		}
		return nil
	}
	if known != nil {
		// The traits that were cleared since then stay cleared.
		known.unwritten = false
		return nil
	}
	r, err := decodeCrash(e.Pair.Value)
	if err != nil {
		return err
	}
	t.removeRecent(r, now)
	t.addCrash(key, &crash{crashRecord: *r, learnedAt: now})
	return nil
}

func (t *Tracker) applyTrait(key string, e kvstore.Event, now time.Time) error {
	if e.Deleted {
		if x, known := t.traitOf(key); known {
			delete(t.probed, x)
			t.removeSuspect(x)
		}
		return nil
	}
	r, err := decodeTrait(e.Pair.Value)
	if err != nil {
		return err
	}
	x := r.trait()
	q := t.probed[x]
	switch {
	case q == nil && len(t.probed) >= maxTraitRecords:
		return nil
	case q == nil:
		q = &traitState{}
		t.probed[x] = q
	case e.Pair.ModRevision == q.revision:
		return nil
	}
	if r.Probes != q.Probes || q.revision == 0 {
		q.seenAt = now
	}
	if !r.Released && kvstore.EraOf(e.Pair.ModRevision) != kvstore.EraOf(q.revision) {
		// A restored copy may hold an earlier record.
		r.Probes, r.JointProbes = max(r.Probes, q.Probes), max(r.JointProbes, q.JointProbes)
	}
	q.traitRecord, q.revision, q.lost = *r, e.Pair.ModRevision, false
	if r.Released {
		t.clear(x)
		t.removeSuspect(x)
	}
	if t.cleared[x] && !q.lifted {
		t.lift(q, false, now)
	}
	return nil
}

// traitOf returns the trait with a key. The record of a suspect may have been written and removed again since the last
// changes that this host received, so the suspects are searched, too.
func (t *Tracker) traitOf(key string) (Trait, bool) {
	if d, ok := strings.CutPrefix(key, requestsPrefix); ok {
		return Trait{Request: entity.RequestDigest(d)}, true
	}
	for x := range t.probed {
		if !x.IsRequest() && traitKey(x) == key {
			return x, true
		}
	}
	for _, c := range t.crashes {
		for _, x := range c.traits() {
			if !x.IsRequest() && traitKey(x) == key {
				return x, true
			}
		}
	}
	return Trait{}, false
}

// update derives the quarantined traits. A suspect is not quarantined if another one explains what it is suspected of,
// unless a probe has confirmed the suspicion.
func (t *Tracker) update(now time.Time) {
	t.watched = make(map[Trait]struct{})
	for _, c := range t.crashes {
		for _, x := range c.traits() {
			t.watched[x] = struct{}{}
		}
	}
	ends := t.ends()
	requests := requestSuspects(ends)
	parts := partSuspects(ends, requests)
	others := explained(parts, requests)
	t.suspected = make(map[Trait]bool, len(parts)+len(requests))
	blocked := make(map[Trait]*blockedTrait)
	for _, s := range slices.Concat(parts, requests) {
		t.suspected[s.trait] = true
		if q := t.probed[s.trait]; others[s.trait] && (q == nil || q.onlyJoint()) {
			continue
		}
		blocked[s.trait] = newBlockedTrait(s, ends, now)
	}
	for x, q := range t.probed {
		t.watched[x] = struct{}{}
		if !q.lifted && blocked[x] == nil && !others[x] {
			blocked[x] = &blockedTrait{since: now}
		}
	}
	t.replaceBlocked(blocked)
}

func newBlockedTrait(s suspect, ends []*end, now time.Time) *blockedTrait {
	b := &blockedTrait{since: now}
	for _, i := range s.ends {
		b.replicas = append(b.replicas, ends[i].instance.Upstream)
	}
	return b
}

// replaceBlocked sets the quarantined traits and records the changes.
func (t *Tracker) replaceBlocked(blocked map[Trait]*blockedTrait) {
	for x, b := range blocked {
		slices.Sort(b.replicas)
		if former := t.blocked[x]; former != nil {
			b.since = former.since
			continue
		}
		t.changes = append(t.changes, Change{Trait: x, Quarantined: true, Replicas: b.replicas})
	}
	for x := range t.blocked {
		if blocked[x] == nil {
			t.changes = append(t.changes, Change{Trait: x})
		}
	}
	t.blocked = blocked
}

// Entries returns the quarantined traits, sorted.
func (t *Tracker) Entries() []Entry {
	out := make([]Entry, 0, len(t.blocked))
	for x, b := range t.blocked {
		e := Entry{Service: x.Service, Part: x.Part, Request: x.Request, Replicas: b.replicas}
		if q := t.probed[x]; q != nil {
			e.Probes = q.Probes
		}
		if j := t.joint[x.Service]; j != nil {
			e.Probes += j.parts[x.Part].Probes
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Request, b.Request))
	})
	return out
}
