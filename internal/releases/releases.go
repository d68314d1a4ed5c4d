// Package releases keeps streams at the release of the software that began them. Replicas of several releases may serve
// side by side, and what two releases write does not fit together.
//
// Known is the table of the releases whose replicas may have begun streams, with a durable record of each. A release gets
// its record before the first stream begins there, and loses it when no such stream can be continued any more. While a
// service has one record, each of its streams was begun by that release, and nothing else has to be known.
//
// Streams is the table of the streams that this host has begun. While a service has several records, the release of
// each stream is written to the key-value service, so that any host can continue the stream, also when all hosts have
// been restarted. What was not written in time is not continued.
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
	// recordRetryPause is the pause before a write is repeated.
	recordRetryPause = time.Second
	// maxRecords bounds the records of releases. Releases beyond it begin no streams that may be continued.
	maxRecords = 1024
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
}

// missingRecord is a record that this host writes at dueAt, and at once as the coordinator. sentAt is when it was last
// written.
type missingRecord struct{ dueAt, sentAt time.Time }

// record is the record of a release.
type record struct {
	revision int64
	// unlistedSince is since when no upstream of the release has been listed, zero if one is.
	unlistedSince time.Time
}

// NewKnown returns an empty table. spread returns a random number from 0 to 1.
func NewKnown(keyPrefix string, spread func() float64) *Known {
	return &Known{keyPrefix: keyPrefix, spread: spread, records: make(map[ServiceRelease]*record), missing: make(map[ServiceRelease]*missingRecord)}
}

// Apply applies changes of the records, and returns an error for each that cannot be read.
func (k *Known) Apply(events []kvstore.Event, now time.Time) []error {
	var errs []error
	for _, e := range events {
		if e.Deleted {
			k.remove(e.Pair.Key)
			continue
		}
		x, err := Decode(e.Pair.Value)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if len(k.records) >= maxRecords && k.records[x] == nil {
			continue
		}
		k.records[x] = &record{revision: e.Pair.ModRevision}
		delete(k.missing, x)
	}
	k.SetListed(k.listed, now)
	return errs
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

// SetListed sets the releases of the listed upstreams.
func (k *Known) SetListed(listed map[ServiceRelease]bool, now time.Time) {
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

func (k *Known) newMissing(now time.Time) *missingRecord {
	return &missingRecord{dueAt: now.Add(recordDelay + time.Duration(k.spread()*float64(recordSpread)))}
}

// IsRecorded reports whether a release has a record, so that streams may begin there.
func (k *Known) IsRecorded(x ServiceRelease) bool { return k.records[x] != nil }

// Of returns the recorded releases of a service, sorted.
func (k *Known) Of(service catalog.ServiceID) []entity.Release {
	var out []entity.Release
	for x := range k.records {
		if x.Service == service {
			out = append(out, x.Release)
		}
	}
	slices.Sort(out)
	return out
}

// Services returns the recorded releases by service. The result is not modified later.
func (k *Known) Services() map[catalog.ServiceID][]entity.Release {
	out := make(map[catalog.ServiceID][]entity.Release)
	for x := range k.records {
		if out[x.Service] == nil {
			out[x.Service] = k.Of(x.Service)
		}
	}
	return out
}

// HasWrites reports whether this host may have to write a record soon.
func (k *Known) HasWrites() bool { return len(k.missing) > 0 }

// TakeWrites returns the transactions that are due. The coordinator writes records at once, and removes those of releases
// whose upstreams have been gone for the retention, after which no stream can be continued there.
func (k *Known) TakeWrites(coordinator bool, retention time.Duration, now time.Time) []kvstore.Txn {
	var out []kvstore.Txn
	for _, x := range sorted(maps.Keys(k.missing)) {
		m := k.missing[x]
		answered := now.Sub(m.sentAt) >= recordRetryPause
		if !answered || !coordinator && now.Before(m.dueAt) || len(k.records) >= maxRecords {
			continue
		}
		m.sentAt = now
		key := k.keyPrefix + x.key()
		out = append(out, kvstore.Txn{Compares: []kvstore.Compare{kvstore.Absent(key)}, Success: []kvstore.Op{kvstore.Put(key, encode(x))}})
	}
	if !coordinator {
		return out
	}
	for _, x := range sorted(maps.Keys(k.records)) {
		r := k.records[x]
		if r.unlistedSince.IsZero() || now.Sub(r.unlistedSince) < retention {
			continue
		}
		r.unlistedSince = now
		key := k.keyPrefix + x.key()
		out = append(out, kvstore.Txn{Compares: []kvstore.Compare{kvstore.Unchanged(key, r.revision)}, Success: []kvstore.Op{{Kind: kvstore.OpDelete, Key: key}}})
	}
	return out
}

func sorted(keys func(func(ServiceRelease) bool)) []ServiceRelease {
	return slices.SortedFunc(keys, func(a, b ServiceRelease) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Release, b.Release))
	})
}
