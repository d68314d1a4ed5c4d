package quarantine

import (
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
	// Recent holds the parts under which answers have begun lately; required.
	Recent *RecentParts
}

// Tracker is one host's knowledge of suspected and quarantined parts.
type Tracker struct {
	opts  Options
	hosts int
	// pending holds the parts of attempts whose connections ended, until it is known whether their engines have ended.
	pending map[Instance]*crashRecord
	// crashes holds the records of the ends of engines by their keys, and parts the quarantined parts that have a
	// record.
	crashes map[string]*crash
	parts   map[Part]*partState
	// cleared holds the parts under which an answer has begun since the last known end of an engine that made them
	// suspects.
	cleared map[Part]bool
	// blocked holds the quarantined parts, and watched all parts that may have ended an engine. Both are derived from
	// crashes and parts.
	blocked map[Part]*blockedPart
	watched map[Part]struct{}
	// suspected holds the parts that may have ended several engines, quarantined or not.
	suspected map[Part]bool
	changes   []Change
	// mayWrite is set while anything may still have to be written. inFlight holds the writes that have no result yet.
	mayWrite  bool
	inFlight  map[uint64]write
	lastWrite uint64
	// claiming holds the parts whose probe this host is about to claim.
	claiming map[Part]bool
}

// crash is the record of the end of an engine with what this host has to do about it.
type crash struct {
	crashRecord
	learnedAt time.Time
	// unwritten is set while this host still has to write the record, at writeAt.
	unwritten bool
	writeAt   time.Time
	writing   bool
}

// partState is the record of a part with what this host has to do about it.
type partState struct {
	partRecord
	revision int64
	// seenAt is when this host learned of the last probe.
	seenAt time.Time
	// lifted is set when this host knows that an answer has begun under the part. It removes the record at clearAt.
	lifted   bool
	clearAt  time.Time
	clearing bool
	// lost is set when the key-value service has lost the record. This host writes it again at rewriteAt.
	lost      bool
	rewriteAt time.Time
}

// onlyJoint reports whether no request was sent with the part as the only suspect.
func (q *partState) onlyJoint() bool { return q.Probes == q.JointProbes }

// blockedPart is a quarantined part.
type blockedPart struct {
	since   time.Time
	engines []entity.UpstreamID
}

// write is what a write changes: the crash records or the part.
type write struct {
	crashes []string
	part    Part
}

// New returns a Tracker without any knowledge.
func New(o Options) *Tracker {
	return &Tracker{
		opts:     o,
		pending:  make(map[Instance]*crashRecord),
		crashes:  make(map[string]*crash),
		parts:    make(map[Part]*partState),
		cleared:  make(map[Part]bool),
		blocked:  make(map[Part]*blockedPart),
		inFlight: make(map[uint64]write),
		claiming: make(map[Part]bool),
	}
}

// SetHosts sets the number of hosts.
func (t *Tracker) SetHosts(n int) { t.hosts = n }

// Watched returns the parts for which the begin of an answer must be reported. The map is not modified later.
func (t *Tracker) Watched() map[Part]struct{} { return t.watched }

// TakeChanges returns the changes of the quarantine since the last call.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// AttemptBroken records an attempt whose connection ended before its first event. It returns true if the caller must
// find out whether the engine has ended, and call Checked.
func (t *Tracker) AttemptBroken(a Attempt) (check bool) {
	if len(a.Parts) == 0 {
		return false
	}
	r := t.pending[a.Instance]
	if r == nil {
		if len(t.pending) >= maxPending {
			return false
		}
		r = &crashRecord{Service: a.Service, Upstream: a.Instance.Upstream, Born: a.Instance.BornMillis, Host: t.opts.Host}
		t.pending[a.Instance] = r
		check = true
	}
	r.add(a.Parts, a.Answering)
	return check
}

// IsPending reports whether it is not known yet whether an engine has ended.
func (t *Tracker) IsPending(i Instance) bool { return t.pending[i] != nil }

// Checked states whether an engine has ended for which AttemptBroken returned true. It returns whether it made any part
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
		r.add(known.Answering, true)
		r.add(known.Waiting, false)
	}
	t.addCrash(key, &crash{crashRecord: *r, learnedAt: now, unwritten: true, writeAt: now.Add(settleTime)})
	t.mayWrite = true
	t.update(now)
	return true
}

// removeRecent removes the parts under which answers have begun lately.
func (t *Tracker) removeRecent(r *crashRecord, now time.Time) {
	isRecent := func(id entity.PromptPartID) bool {
		return t.opts.Recent.Contains(Part{Service: r.Service, ID: id}, now)
	}
	r.Answering = slices.DeleteFunc(r.Answering, isRecent)
	r.Waiting = slices.DeleteFunc(r.Waiting, isRecent)
}

// addCrash adds a record. What was known of its parts before tells nothing about it.
func (t *Tracker) addCrash(key string, c *crash) {
	t.crashes[key] = c
	for _, list := range [][]entity.PromptPartID{c.Answering, c.Waiting} {
		for _, id := range list {
			delete(t.cleared, Part{Service: c.Service, ID: id})
		}
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

// AnswerBegan records that an answer to a request with the parts has begun. probe is set if the request was sent as a
// probe.
func (t *Tracker) AnswerBegan(service catalog.ServiceID, ids []entity.PromptPartID, probe bool, now time.Time) {
	changed := false
	for _, id := range ids {
		p := Part{Service: service, ID: id}
		if _, ok := t.watched[p]; !ok {
			continue
		}
		t.clear(p)
		changed = t.removeSuspect(p) || changed
		if q := t.parts[p]; q != nil && !q.lifted {
			t.lift(q, probe, now)
			changed = true
		}
	}
	if changed {
		t.update(now)
	}
}

// clear records that an answer has begun under a part. A full table is emptied: it only spares probes.
func (t *Tracker) clear(p Part) {
	if len(t.cleared) >= maxCleared {
		clear(t.cleared)
	}
	t.cleared[p] = true
}

// removeSuspect removes a part from all records of ends of engines, and reports whether it was in any.
func (t *Tracker) removeSuspect(p Part) bool {
	removed := false
	for _, c := range t.crashes {
		if c.Service == p.Service {
			removed = c.remove(p.ID) || removed
		}
	}
	for _, r := range t.pending {
		if r.Service == p.Service {
			r.remove(p.ID)
		}
	}
	return removed
}

// lift ends the quarantine of a part at this host, and at all others a little later unless another host is faster.
func (t *Tracker) lift(q *partState, atOnce bool, now time.Time) {
	q.lifted = true
	t.mayWrite = true
	q.clearAt = now
	if !atOnce {
		spread := min(time.Duration(t.hosts)*clearDelayPerHost, maxClearDelay)
		q.clearAt = now.Add(time.Duration(t.opts.Rand.Float64() * float64(spread)))
	}
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
		case ours && strings.HasPrefix(key, partsPrefix):
			err = t.applyPart(key, e, now)
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
		// The parts that were cleared since then stay cleared.
		known.unwritten = false
		return nil
	}
	r, err := decodeCrash(e.Pair.Value)
	if err != nil {
		return err
	}
	t.addCrash(key, &crash{crashRecord: *r, learnedAt: now})
	return nil
}

func (t *Tracker) applyPart(key string, e kvstore.Event, now time.Time) error {
	if e.Deleted {
		if p, known := t.partOf(key); known {
			delete(t.parts, p)
			t.removeSuspect(p)
		}
		return nil
	}
	r, err := decodePart(e.Pair.Value)
	if err != nil {
		return err
	}
	p := Part{Service: r.Service, ID: r.Part}
	q := t.parts[p]
	switch {
	case q == nil && len(t.parts) >= maxPartRecords:
		return nil
	case q == nil:
		q = &partState{}
		t.parts[p] = q
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
	q.partRecord, q.revision, q.lost = *r, e.Pair.ModRevision, false
	if r.Released {
		t.clear(p)
		t.removeSuspect(p)
	}
	if t.cleared[p] && !q.lifted {
		t.lift(q, false, now)
	}
	return nil
}

// partOf returns the part with a key. The record of a suspect may have been written and removed again since the last
// changes that this host received, so the suspects are searched, too.
func (t *Tracker) partOf(key string) (Part, bool) {
	for p := range t.parts {
		if partKey(p) == key {
			return p, true
		}
	}
	for _, c := range t.crashes {
		for _, id := range slices.Concat(c.Answering, c.Waiting) {
			if p := (Part{Service: c.Service, ID: id}); partKey(p) == key {
				return p, true
			}
		}
	}
	return Part{}, false
}

// update derives the quarantined parts. A suspect is not quarantined if another one explains what it is suspected of,
// unless a probe has confirmed the suspicion.
func (t *Tracker) update(now time.Time) {
	t.watched = make(map[Part]struct{})
	for _, c := range t.crashes {
		t.watch(c.Service, c.Answering)
		t.watch(c.Service, c.Waiting)
	}
	groups := groupEnds(t.ends())
	ends := slices.Concat(groups...)
	found := findSuspects(groups)
	others := explained(found)
	t.suspected = make(map[Part]bool, len(found))
	blocked := make(map[Part]*blockedPart)
	for _, s := range found {
		t.suspected[s.part] = true
		if q := t.parts[s.part]; others[s.part] && (q == nil || q.onlyJoint()) {
			continue
		}
		blocked[s.part] = newBlockedPart(s, ends, now)
	}
	for p, q := range t.parts {
		t.watched[p] = struct{}{}
		if !q.lifted && blocked[p] == nil && !others[p] {
			blocked[p] = &blockedPart{since: now}
		}
	}
	t.replaceBlocked(blocked)
}

func newBlockedPart(s suspect, ends []*end, now time.Time) *blockedPart {
	b := &blockedPart{since: now}
	for _, i := range s.ends {
		b.engines = append(b.engines, ends[i].instance.Upstream)
	}
	return b
}

// watch adds parts to the watched parts.
func (t *Tracker) watch(service catalog.ServiceID, ids []entity.PromptPartID) {
	for _, id := range ids {
		t.watched[Part{Service: service, ID: id}] = struct{}{}
	}
}

// replaceBlocked sets the quarantined parts and records the changes.
func (t *Tracker) replaceBlocked(blocked map[Part]*blockedPart) {
	for p, b := range blocked {
		slices.Sort(b.engines)
		if former := t.blocked[p]; former != nil {
			b.since = former.since
			continue
		}
		t.changes = append(t.changes, Change{Part: p, Quarantined: true, Engines: b.engines})
	}
	for p := range t.blocked {
		if blocked[p] == nil {
			t.changes = append(t.changes, Change{Part: p})
		}
	}
	t.blocked = blocked
}

// Entries returns the quarantined parts, sorted.
func (t *Tracker) Entries() []Entry {
	out := make([]Entry, 0, len(t.blocked))
	for p, b := range t.blocked {
		e := Entry{Service: p.Service, Part: p.ID, Engines: b.engines}
		if q := t.parts[p]; q != nil {
			e.Probes = q.Probes
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return strings.Compare(string(a.Service)+"\x00"+string(a.Part), string(b.Service)+"\x00"+string(b.Part))
	})
	return out
}
