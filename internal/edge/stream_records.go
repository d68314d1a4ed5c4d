package edge

import (
	"context"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// streamWriteInterval is how often the records of streams are written at most.
	streamWriteInterval = 50 * time.Millisecond
	// streamWriteRetryPause is the pause after a write that has failed.
	streamWriteRetryPause = 250 * time.Millisecond
	// firstStreamWriteTimeout bounds a write, and is doubled after each that has failed, up to the timeout of the
	// key-value service: a call that has been lost must not delay the others for long.
	firstStreamWriteTimeout = 400 * time.Millisecond
)

// streamRecordWriter writes the records of the streams of this host. They belong to a lease of which a new one is taken
// every retention, so that each lasts for one to two retentions, also if this host ends.
type streamRecordWriter struct {
	host       *Host
	lease      kvstore.LeaseID
	leaseUntil time.Time
	// failures counts the failed writes in a row. The next write is made at nextAt or later.
	failures int
	nextAt   time.Time
	// forgetAt is when records of the streams of other hosts are next forgotten.
	forgetAt time.Time
}

// writeStreams writes the records of streams until ctx ends.
func (h *Host) writeStreams(ctx context.Context) {
	w := &streamRecordWriter{host: h}
	ticker := time.NewTicker(streamWriteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.proveStreams(boottime.Now())
		case <-h.frontend.streams.Urgent():
		}
		w.tick(ctx, boottime.Now())
	}
}

// tick makes the next write if one is due.
func (w *streamRecordWriter) tick(ctx context.Context, now time.Time) {
	f := w.host.frontend
	if f.streams.EnterEra(w.host.opts.Store.Era()) {
		// The lease may be gone, and its ID may be given out again.
		w.leaseUntil = time.Time{}
	}
	cat := f.catalog.Load()
	if cat == nil {
		return
	}
	w.forgetKept(releaseRetention(cat), now)
	if now.Before(w.nextAt) || !f.streams.HasWrites() && !w.writesKept(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout())
	defer cancel()
	if err := w.write(ctx, cat, now); err != nil {
		w.host.log.Warn("Records of streams not written.", "failures", w.failures, "err", err)
		w.failures++
		w.nextAt = boottime.Now().Add(streamWriteRetryPause)
		// The lease may have been lost.
		w.leaseUntil = time.Time{}
		return
	}
	w.failures = 0
	w.nextAt = now.Add(streamWriteInterval)
}

// forgetKept forgets the records of the streams of other hosts that are no longer needed, once a retention.
func (w *streamRecordWriter) forgetKept(retention time.Duration, now time.Time) {
	if now.Before(w.forgetAt) {
		return
	}
	w.forgetAt = now.Add(retention)
	w.host.keptStreams.Forget(retention, now)
}

// writesKept reports whether this host has to write records of the streams of others: those that they have relayed, and those
// that a restore has lost if this host is the coordinator. It does so only while it knows of no outage.
func (w *streamRecordWriter) writesKept(now time.Time) bool {
	return w.host.watcher.readableSince.Load() != 0 && w.host.keptStreams.HasUnwritten(w.host.candidate.HoldsLease(), now)
}

// timeout returns the timeout of the next write.
func (w *streamRecordWriter) timeout() time.Duration {
	longest := w.host.opts.Settings.Store.Timeout.Std()
	timeout := firstStreamWriteTimeout
	for range w.failures {
		if timeout >= longest {
			break
		}
		timeout *= 2
	}
	return min(timeout, longest)
}

// write writes the next batch of records.
func (w *streamRecordWriter) write(ctx context.Context, cat *catalog.Catalog, now time.Time) error {
	store, streams := w.host.opts.Store, w.host.frontend.streams
	if retention := releaseRetention(cat); now.After(w.leaseUntil) {
		id, err := store.Grant(ctx, 2*retention)
		if err != nil {
			return err
		}
		w.lease, w.leaseUntil = id, now.Add(retention)
	}
	if w.writesKept(now) {
		ops := w.host.keptStreams.TakeUnwritten(w.lease, w.host.candidate.HoldsLease(), now)
		if _, err := store.Txn(ctx, kvstore.Txn{Success: ops}); err != nil {
			return err
		}
		w.host.keptStreams.Acknowledged(ops)
	}
	batch, ok := streams.TakeWrite(w.lease, now)
	if !ok {
		return nil
	}
	if _, err := store.Txn(ctx, kvstore.Txn{Success: batch.Ops}); err != nil {
		streams.Failed(batch)
		return err
	}
	streams.Acknowledged(batch)
	return nil
}
