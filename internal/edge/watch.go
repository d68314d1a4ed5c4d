package edge

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"log/slog"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// pollPause is the pause between two reads of the changes. It keeps what this host learns by
	// itself within the 2 s in which a leaving upstream must get no more work. The coordinator reads
	// more often and tells the others which upstreams leave.
	pollPause = 1200 * time.Millisecond
	leadPause = 400 * time.Millisecond
	// searchPause is the pause while the coordinator is unknown.
	searchPause = 300 * time.Millisecond
	// failurePause is the pause after a failed read.
	failurePause = 150 * time.Millisecond
	// pollWait is how long the service may hold a read without changes.
	pollWait = time.Millisecond
	// outageAfter is how long reads must have failed for entries that lapsed meanwhile to be
	// given returnTime to come back.
	outageAfter = 1500 * time.Millisecond
	// returnTime is the time in which the entries of live upstreams are back after an outage.
	returnTime = 2200 * time.Millisecond
)

// membersPrefix holds the registrations of hosts, each under its host's lease.
const membersPrefix = "hosts/"

// watcher keeps this host's copy of the key-value service: one read a second brings the changes of
// all keys, and proves that nothing older was missed.
type watcher struct {
	store    Store
	protocol Protocol
	prefix   string
	log      *slog.Logger
	send     func(event)
	observe  func(election.Observation)
	self     entity.HostID
	publish  func(*catalog.Catalog)

	// confirmed is the boot time, in nanoseconds, at which the last successful read began.
	confirmed atomic.Int64
	listed    atomic.Bool
	searching atomic.Bool

	revision int64
	lastOK   time.Time
	outage   time.Time
	rows     map[entity.UpstreamID]bool
	missing  map[entity.UpstreamID]time.Time
	members  map[entity.HostID]bool
	election election.Observation
	version  int64
	changed  bool
}

// freshAt returns the time at which this host's knowledge was last proven to be the newest; zero
// means never.
func (w *watcher) freshAt() time.Time {
	at := w.confirmed.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

func (w *watcher) run(ctx context.Context) {
	w.rows = make(map[entity.UpstreamID]bool)
	w.missing = make(map[entity.UpstreamID]time.Time)
	w.members = make(map[entity.HostID]bool)
	for ctx.Err() == nil {
		began := boottime.Now()
		err := w.read(ctx)
		pause := w.pause()
		if err != nil {
			pause = failurePause
			w.failed(err, began)
		} else {
			w.succeeded(began)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (w *watcher) pause() time.Duration {
	switch {
	case w.election.Holder == nil || w.searching.Load():
		return searchPause
	case w.election.Holder.Host == w.self:
		return leadPause
	}
	return pollPause
}

func (w *watcher) failed(err error, now time.Time) {
	if w.outage.IsZero() && ctxAlive(err) {
		w.outage = now
		w.log.Warn("Key-value service lost.", "err", err, "revision", w.revision)
	}
}

func ctxAlive(err error) bool { return !errors.Is(err, context.Canceled) }

func (w *watcher) succeeded(began time.Time) {
	w.confirmed.Store(began.UnixNano())
	if !w.outage.IsZero() {
		w.log.Info("Key-value service regained.", "after", began.Sub(w.outage), "revision", w.revision)
		w.outage = time.Time{}
	}
	w.lastOK = boottime.Now()
	w.expireMissing(w.lastOK)
}

// read brings this host's copy up to date.
func (w *watcher) read(ctx context.Context) error {
	if w.revision == 0 {
		return w.readAll(ctx)
	}
	batch, err := w.store.Poll(ctx, "", w.revision, pollWait)
	if errors.Is(err, kvstore.ErrCompacted) {
		w.log.Info("History lost. Everything is read anew.", "revision", w.revision)
		return w.readAll(ctx)
	}
	if err != nil {
		return err
	}
	w.apply(batch.Events)
	w.revision = batch.Revision
	return nil
}

// readAll replaces the copy. What the range lacks is gone.
func (w *watcher) readAll(ctx context.Context) error {
	res, err := w.store.Range(ctx, kvstore.RangeRequest{Prefix: ""})
	if err != nil {
		return err
	}
	present := make(map[string]bool, len(res.Pairs))
	events := make([]kvstore.Event, 0, len(res.Pairs))
	for _, p := range res.Pairs {
		present[p.Key] = true
		events = append(events, kvstore.Event{Pair: p})
	}
	for id := range w.rows {
		if key := w.protocol.UpstreamsPrefix() + string(id); !present[key] {
			events = append(events, kvstore.Event{Deleted: true, Pair: kvstore.Pair{Key: key}})
		}
	}
	for id := range w.members {
		if key := w.prefix + membersPrefix + string(id); !present[key] {
			events = append(events, kvstore.Event{Deleted: true, Pair: kvstore.Pair{Key: key}})
		}
	}
	if key := w.prefix + election.HolderKey; w.election.Holder != nil && !present[key] {
		events = append(events, kvstore.Event{Deleted: true, Pair: kvstore.Pair{Key: key}})
	}
	w.apply(events)
	w.revision = res.Revision
	w.listed.Store(true)
	return nil
}

func (w *watcher) apply(events []kvstore.Event) {
	var ups upstreamsChanged
	members, holder := false, false
	for _, e := range events {
		key := e.Pair.Key
		switch {
		case key == w.protocol.ConfigKey():
			w.applyConfig(e)
		case strings.HasPrefix(key, w.protocol.UpstreamsPrefix()):
			w.applyUpstream(e, &ups)
		case strings.HasPrefix(key, w.prefix+membersPrefix):
			members = true
			w.applyMember(e)
		case key == w.prefix+election.HolderKey:
			holder = true
			w.applyHolder(e)
		case key == w.prefix+election.TermKey && !e.Deleted:
			w.applyTerm(e)
		}
	}
	if len(ups.put)+len(ups.removed) > 0 {
		w.send(ups)
	}
	if members {
		w.send(membersChanged{hosts: w.sortedMembers()})
	}
	if holder || !w.changed {
		w.changed = true
		w.send(holderChanged{holder: w.election.Holder})
	}
	w.election.Rank = w.rank()
	w.observe(w.election)
}

func (w *watcher) applyConfig(e kvstore.Event) {
	if e.Deleted {
		w.log.Error("Configuration deleted. The last one stays in force.", "version", w.version)
		return
	}
	cat, notices, err := w.protocol.DecodeCatalog(e.Pair.Value)
	if err != nil {
		w.log.Error("Configuration cannot be read. The last one stays in force.", "version", w.version, "err", err)
		return
	}
	for _, n := range notices {
		w.log.Warn("Part of the configuration left out.", "part", n.Part, "reason", n.Reason)
	}
	if cat.Version < w.version {
		w.log.Error("Older configuration ignored.", "version", cat.Version, "in_force", w.version)
		return
	}
	w.version = cat.Version
	w.publish(cat)
	w.send(catalogChanged{catalog: cat})
	w.log.Info("Configuration in force.", "version", cat.Version, "revision", e.Pair.ModRevision, "routes", cat.Routes())
}

func (w *watcher) applyUpstream(e kvstore.Event, out *upstreamsChanged) {
	id := entity.UpstreamID(strings.TrimPrefix(e.Pair.Key, w.protocol.UpstreamsPrefix()))
	var u *fleet.Upstream
	if !e.Deleted {
		var err error
		if u, err = w.protocol.DecodeUpstream(e.Pair.Key, e.Pair.Value); err != nil {
			w.log.Warn("Entry of the list ignored.", "key", e.Pair.Key, "err", err)
		}
	}
	if u != nil {
		w.rows[id] = true
		delete(w.missing, id)
		out.addPut(u)
		return
	}
	if !w.rows[id] {
		return
	}
	if e.Deleted && w.afterOutage() {
		w.missing[id] = boottime.Now().Add(returnTime)
		return
	}
	delete(w.rows, id)
	out.addRemoved(id)
}

// afterOutage says whether the read under way ends an outage, in which entries of live upstreams
// may have lapsed.
func (w *watcher) afterOutage() bool {
	return !w.outage.IsZero() && boottime.Now().Sub(w.outage) > outageAfter
}

// expireMissing gives up the upstreams whose entries have not come back after an outage.
func (w *watcher) expireMissing(now time.Time) {
	var out upstreamsChanged
	for id, until := range w.missing {
		if now.Before(until) {
			continue
		}
		delete(w.missing, id)
		delete(w.rows, id)
		out.removed = append(out.removed, id)
	}
	if len(out.removed) > 0 {
		w.send(out)
	}
}

func (w *watcher) applyMember(e kvstore.Event) {
	id := entity.HostID(strings.TrimPrefix(e.Pair.Key, w.prefix+membersPrefix))
	if e.Deleted {
		delete(w.members, id)
		return
	}
	w.members[id] = true
}

func (w *watcher) applyHolder(e kvstore.Event) {
	w.election.Holder, w.election.Revision = nil, 0
	if e.Deleted {
		return
	}
	if h, ok := w.decodeHolder(e.Pair); ok {
		w.election.Holder, w.election.Revision = h, e.Pair.ModRevision
	}
}

func (w *watcher) applyTerm(e kvstore.Event) {
	w.election.LastRevision = e.Pair.ModRevision
	w.election.Last = ""
	if h, ok := w.decodeHolder(e.Pair); ok {
		w.election.Last = h.Host
	}
}

func (w *watcher) decodeHolder(p kvstore.Pair) (*election.Holder, bool) {
	var h election.Holder
	if err := json.Unmarshal(p.Value, &h); err != nil {
		w.log.Error("Holder of the right to give orders cannot be read.", "key", p.Key, "err", err)
		return nil, false
	}
	return &h, true
}

func (w *watcher) sortedMembers() []entity.HostID {
	out := make([]entity.HostID, 0, len(w.members))
	for id := range w.members {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// rank is this host's place among the candidates. The order differs between terms, so that one
// unreachable host does not stay first.
func (w *watcher) rank() int {
	own := hashHost(w.self, w.election.LastRevision)
	rank := 0
	for id := range w.members {
		if id != w.self && hashHost(id, w.election.LastRevision) < own {
			rank++
		}
	}
	return rank
}

func hashHost(id entity.HostID, term int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{byte(term), byte(term >> 8), byte(term >> 16)})
	return h.Sum64()
}
