// Package releases keeps streams at the release of the software that began them. Replicas of several releases may serve
// side by side, and what two releases write does not fit together.
//
// Known is the table of the releases whose replicas may have begun streams, with a durable record of each. A release gets
// its record before the first stream begins there, and loses it when no such stream can be continued any more.
//
// Streams is the table of the streams that this host has begun. While a service has several records, the release of
// each stream is written to the key-value service, so that any host can continue the stream, also when all hosts have
// been restarted.
//
// What a host may conclude that has not served a stream itself:
//
//   - The record of the stream, if there is one, states its origin.
//   - While the service has one recorded release, each of its streams began there. Such streams have no records.
//   - When a second release comes, hosts that have ended, stand still or are cut off write no records of these streams any
//     more. The record of the second release therefore names the first one as the baseline: while it does, a stream without
//     a record began at the baseline. So that this is true, no event of a stream that begins at another release is passed
//     on before the stream has its record.
//   - Otherwise a stream without a record may have begun anywhere.
//
// The baseline ends after a retention, when all streams of before are over. It ends sooner when it has no upstreams left,
// when an upstream starts again at another release under its ID, because hosts with an old list take it for what it was,
// and when the key-value service is restored from an older copy, which may lack records.
//
// A host whose list of upstreams is old does not know for certain at which release a stream begins. The origin of such a
// stream names the incarnation of the upstream that the old list stated. Any list that is certainly newer than the stream
// proves the release if it states the same incarnation.
//
// The types of this package do no I/O. Time is passed in.
package releases

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// recordSpread is the time over which hosts that are not the coordinator spread the writes of a record.
	recordSpread = 2 * time.Second
	// recordDelay is how long they leave it to the coordinator.
	recordDelay = 300 * time.Millisecond
	// ReturnTime is the time after a restore of the key-value service in which the records of releases that the copy lacks are
	// written again.
	ReturnTime = 3 * time.Second
	// recordRetryPause is the pause before a write is repeated.
	recordRetryPause = time.Second
	// maxRecords bounds the records of releases. Releases beyond it begin no streams that may be continued.
	maxRecords = 1024
	// minSoleTime is how long a service must have had one recorded release for it to become the baseline: records that
	// other hosts write meanwhile are seen by then.
	minSoleTime = 3 * time.Second
	// goneTime is how long no upstream of a baseline must have been listed for it to end.
	goneTime = 3 * time.Second
)

// Known is the table of the recorded releases. It is not safe for concurrent use.
type Known struct {
	keyPrefix string
	// spread returns a random number from 0 to 1.
	spread  func() float64
	records map[ServiceRelease]*record
	// listed are the releases of the listed upstreams, and missing those whose record has to be written.
	listed  map[ServiceRelease]bool
	missing map[ServiceRelease]*missingRecord
	// soleSince is since when a service has had one recorded release.
	soleSince map[catalog.ServiceID]time.Time
	// upstreams are the upstreams that are listed or were so lately, and changedInPlace is when an upstream of a service was
	// last listed at another release than before.
	upstreams      map[entity.UpstreamID]*listedUpstream
	changedInPlace map[catalog.ServiceID]time.Time
	// era is the era of the key-value service once eraKnown is set, and restoredAt when it last rose, zero if it has not.
	era        kvstore.Era
	eraKnown   bool
	restoredAt time.Time
}

// listedUpstream is the release at which an upstream is listed, or was until unlistedSince.
type listedUpstream struct {
	ServiceRelease
	unlistedSince time.Time
}

// missingRecord is a record that this host writes at dueAt, and at once as the coordinator. sentAt is when it was last
// written.
type missingRecord struct{ dueAt, sentAt time.Time }

// record is the record of a release.
type record struct {
	releaseRecord
	revision int64
	// baselineSince is since when this host has known that the record names a baseline, zero if it names none.
	baselineSince time.Time
	// endSentAt is when this host last wrote that the baseline has ended.
	endSentAt time.Time
	// unlistedSince is since when no upstream of the release has been listed, zero if one is.
	unlistedSince time.Time
}

// NewKnown returns an empty table. spread returns a random number from 0 to 1.
func NewKnown(keyPrefix string, spread func() float64) *Known {
	return &Known{
		keyPrefix:      keyPrefix,
		spread:         spread,
		records:        make(map[ServiceRelease]*record),
		missing:        make(map[ServiceRelease]*missingRecord),
		soleSince:      make(map[catalog.ServiceID]time.Time),
		upstreams:      make(map[entity.UpstreamID]*listedUpstream),
		changedInPlace: make(map[catalog.ServiceID]time.Time),
	}
}

// Apply applies changes of the records, and returns an error for each that cannot be read.
func (k *Known) Apply(events []kvstore.Event, now time.Time) []error {
	var errs []error
	for _, e := range events {
		k.enterEra(kvstore.EraOf(e.Pair.ModRevision), now)
		if e.Deleted {
			k.remove(e.Pair.Key)
			continue
		}
		rec, err := decodeRelease(e.Pair.Value)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if len(k.records) >= maxRecords && k.records[rec.ServiceRelease] == nil {
			continue
		}
		k.put(rec, e.Pair.ModRevision, now)
	}
	k.setListed(k.listed, now)
	k.updateSole(now)
	return errs
}

func (k *Known) put(rec releaseRecord, revision int64, now time.Time) {
	r := &record{releaseRecord: rec, revision: revision}
	if rec.Baseline != "" {
		r.baselineSince = now
		if former := k.records[rec.ServiceRelease]; former != nil && former.releaseRecord == rec {
			r.baselineSince = former.baselineSince
		}
	}
	k.records[rec.ServiceRelease] = r
	delete(k.missing, rec.ServiceRelease)
}

// updateSole updates since when services have had one recorded release.
func (k *Known) updateSole(now time.Time) {
	counts := make(map[catalog.ServiceID]int)
	for x := range k.records {
		counts[x.Service]++
	}
	maps.DeleteFunc(k.soleSince, func(s catalog.ServiceID, _ time.Time) bool { return counts[s] != 1 })
	for service, n := range counts {
		if _, known := k.soleSince[service]; n == 1 && !known {
			k.soleSince[service] = now
		}
	}
}

func (k *Known) remove(key string) {
	maps.DeleteFunc(k.records, func(x ServiceRelease, _ *record) bool { return k.keyPrefix+x.key() == key })
}

// Restore makes this host write records again that the key-value service has lost.
func (k *Known) Restore(keys []string, now time.Time) {
	for x := range k.records {
		if slices.Contains(keys, k.keyPrefix+x.key()) {
			k.missing[x] = k.newMissing(now)
		}
	}
}

// setListed sets the releases of the listed upstreams.
func (k *Known) setListed(listed map[ServiceRelease]bool, now time.Time) {
	k.listed = listed
	for x := range listed {
		if _, waits := k.missing[x]; !waits && k.records[x] == nil {
			k.missing[x] = k.newMissing(now)
		}
	}
	maps.DeleteFunc(k.missing, func(x ServiceRelease, _ *missingRecord) bool { return !listed[x] && k.records[x] == nil })
	for x, r := range k.records {
		switch {
		case listed[x]:
			r.unlistedSince = time.Time{}
		case r.unlistedSince.IsZero():
			r.unlistedSince = now
		}
	}
}

// SetUpstreams sets the listed upstreams with their releases, and reports whether one has changed its release under its ID.
func (k *Known) SetUpstreams(upstreams map[entity.UpstreamID]ServiceRelease, now time.Time) (changed bool) {
	listed := make(map[ServiceRelease]bool)
	for id, x := range upstreams {
		listed[x] = true
		if former := k.upstreams[id]; former != nil && former.ServiceRelease != x {
			k.changedInPlace[x.Service] = now
			changed = true
		}
		k.upstreams[id] = &listedUpstream{ServiceRelease: x}
	}
	for id, u := range k.upstreams {
		if _, ok := upstreams[id]; !ok && u.unlistedSince.IsZero() {
			u.unlistedSince = now
		}
	}
	k.setListed(listed, now)
	return changed
}

// forgetUpstreams forgets the upstreams that have not been listed for the retention, and changes of releases that are as old.
func (k *Known) forgetUpstreams(retention time.Duration, now time.Time) {
	maps.DeleteFunc(k.upstreams, func(_ entity.UpstreamID, u *listedUpstream) bool {
		return !u.unlistedSince.IsZero() && now.Sub(u.unlistedSince) > retention
	})
	maps.DeleteFunc(k.changedInPlace, func(_ catalog.ServiceID, at time.Time) bool { return now.Sub(at) > retention })
}

func (k *Known) newMissing(now time.Time) *missingRecord {
	return &missingRecord{dueAt: now.Add(recordDelay + time.Duration(k.spread()*float64(recordSpread)))}
}

// Services returns what is recorded of the releases of each service. The result is not modified later.
func (k *Known) Services() map[catalog.ServiceID]Service {
	records := make(map[catalog.ServiceID][]releaseRecord)
	for _, r := range k.records {
		records[r.Service] = append(records[r.Service], r.releaseRecord)
	}
	out := make(map[catalog.ServiceID]Service, len(records))
	for id, recs := range records {
		s := newService(recs, k.era)
		_, s.ChangedInPlace = k.changedInPlace[id]
		out[id] = s
	}
	return out
}

// HasWrites reports whether this host may have to write a record soon.
func (k *Known) HasWrites() bool { return len(k.missing) > 0 }

// WriteOptions describes the host that writes records.
type WriteOptions struct {
	// Coordinator is set if this host is the coordinator, which writes records at once.
	Coordinator bool
	// ViewIsFresh is set if this host knows all records that others have written, but for the last moment.
	ViewIsFresh bool
	// Retention is how long after its begin a stream may be continued at most.
	Retention time.Duration
	// Era is the era of the key-value service.
	Era kvstore.Era
}

// TakeWrites returns the transactions that are due. The coordinator writes records at once, ends baselines, and removes the
// records of releases whose upstreams have been gone for the retention, after which no stream can be continued there.
func (k *Known) TakeWrites(o WriteOptions, now time.Time) []kvstore.Txn {
	k.enterEra(o.Era, now)
	k.forgetUpstreams(o.Retention, now)
	var out []kvstore.Txn
	for _, x := range sorted(maps.Keys(k.missing)) {
		m := k.missing[x]
		answered := now.Sub(m.sentAt) >= recordRetryPause
		if !answered || !o.Coordinator && now.Before(m.dueAt) || len(k.records) >= maxRecords {
			continue
		}
		m.sentAt = now
		out = append(out, k.create(x, o, now))
	}
	if !o.Coordinator {
		return out
	}
	for _, x := range sorted(maps.Keys(k.records)) {
		if txn, due := k.maintain(k.records[x], o, now); due {
			out = append(out, txn)
		}
	}
	return out
}

// enterEra records that the key-value service is in an era.
func (k *Known) enterEra(era kvstore.Era, now time.Time) {
	if k.eraKnown && era > k.era {
		k.restoredAt = now
	}
	k.era, k.eraKnown = max(era, k.era), true
}

// create returns the transaction that writes the record of a release. Where the service has one record, it writes that one
// again, so that of two hosts that each add a release to it one fails and looks again.
func (k *Known) create(x ServiceRelease, o WriteOptions, now time.Time) kvstore.Txn {
	rec := releaseRecord{ServiceRelease: x}
	key := k.keyPrefix + x.key()
	txn := kvstore.Txn{Compares: []kvstore.Compare{kvstore.Absent(key)}}
	if sole := k.sole(x.Service); sole != nil && sole.ServiceRelease != x {
		soleKey := k.keyPrefix + sole.key()
		txn.Compares = append(txn.Compares, kvstore.Unchanged(soleKey, sole.revision))
		txn.Success = append(txn.Success, kvstore.Put(soleKey, encode(releaseRecord{ServiceRelease: sole.ServiceRelease})))
		if k.mayBeBaseline(x.Service, o, now) {
			rec.Baseline, rec.Era = sole.Release, k.era
		}
	}
	txn.Success = append(txn.Success, kvstore.Put(key, encode(rec)))
	return txn
}

// sole returns the only record of a service, nil if there are several or none.
func (k *Known) sole(service catalog.ServiceID) *record {
	if _, ok := k.soleSince[service]; !ok {
		return nil
	}
	for x, r := range k.records {
		if x.Service == service {
			return r
		}
	}
	return nil
}

// mayBeBaseline reports whether all streams of a service that have no record began at its only recorded release.
func (k *Known) mayBeBaseline(service catalog.ServiceID, o WriteOptions, now time.Time) bool {
	_, changed := k.changedInPlace[service]
	restored := !k.restoredAt.IsZero() && now.Sub(k.restoredAt) < o.Retention
	return o.ViewIsFresh && !changed && !restored && now.Sub(k.soleSince[service]) >= minSoleTime
}

// maintain returns the transaction that ends the baseline of a record, or that removes the record, if one is due.
func (k *Known) maintain(r *record, o WriteOptions, now time.Time) (txn kvstore.Txn, due bool) {
	key := k.keyPrefix + r.key()
	unchanged := []kvstore.Compare{kvstore.Unchanged(key, r.revision)}
	switch {
	case !r.unlistedSince.IsZero() && now.Sub(r.unlistedSince) >= o.Retention:
		r.unlistedSince = now
		return kvstore.Txn{Compares: unchanged, Success: []kvstore.Op{{Kind: kvstore.OpDelete, Key: key}}}, true
	case k.baselineEnds(r, o, now) && now.Sub(r.endSentAt) >= recordRetryPause:
		r.endSentAt = now
		return kvstore.Txn{Compares: unchanged, Success: []kvstore.Op{kvstore.Put(key, encode(releaseRecord{ServiceRelease: r.ServiceRelease}))}}, true
	}
	return kvstore.Txn{}, false
}

// baselineEnds reports whether the baseline that a record names is over.
func (k *Known) baselineEnds(r *record, o WriteOptions, now time.Time) bool {
	if r.Baseline == "" {
		return false
	}
	_, changed := k.changedInPlace[r.Service]
	return changed || r.Era != k.era || now.Sub(r.baselineSince) >= o.Retention || k.isGone(ServiceRelease{Service: r.Service, Release: r.Baseline}, now)
}

// isGone reports whether no upstream of a release has been listed for so long that none is about to be listed again.
func (k *Known) isGone(x ServiceRelease, now time.Time) bool {
	r := k.records[x]
	return r == nil || !r.unlistedSince.IsZero() && now.Sub(r.unlistedSince) >= goneTime
}

func sorted(keys func(func(ServiceRelease) bool)) []ServiceRelease {
	return slices.SortedFunc(keys, func(a, b ServiceRelease) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Release, b.Release))
	})
}
