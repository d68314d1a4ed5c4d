package edge

import (
	"context"
	"strconv"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// settledEraKey holds the last era of the key-value service in which all that a restore may have lost was written again.
// The service says nothing about that; a restored copy holds a former era.
const settledEraKey = "settled-era"

// applySettledEra applies a change of the settled era.
func (w *watcher) applySettledEra(e kvstore.Event) {
	era, err := strconv.ParseInt(string(e.Pair.Value), 10, 64)
	if e.Deleted || err != nil {
		w.log.Warn("Settled era cannot be read.", "value", string(e.Pair.Value), "deleted", e.Deleted, "err", err)
		era = 0
	}
	w.settledEra = kvstore.Era(era)
}

// isSettled reports whether the view can be trusted. A process that has just started can't tell what the last restore
// has lost, so its view must be from after the time in which that is written again.
func (w *watcher) isSettled() bool {
	era := kvstore.EraOf(w.revision)
	return era == 0 || era == w.settledEra || w.freshAt().Sub(w.eraSince) >= entryReturnTime
}

// updateSettled releases the view once it can be trusted. The coordinator then states that for hosts that start later.
func (w *watcher) updateSettled(ctx context.Context) {
	if w.revision == 0 || !w.isSettled() {
		return
	}
	if !w.fullyRead.Load() {
		w.log.Info("View of the key-value service complete.", "era", kvstore.EraOf(w.revision), "after", boottime.Now().Sub(w.eraSince))
		w.fullyRead.Store(true)
	}
	era := kvstore.EraOf(w.revision)
	if !w.isCoordinator() || era == w.settledEra || era == 0 {
		return
	}
	value := []byte(strconv.FormatInt(int64(era), 10))
	if _, err := w.store.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{kvstore.Put(w.prefix+settledEraKey, value)}}); err != nil {
		w.log.Warn("Settled era not written.", "err", err)
		return
	}
	w.settledEra = era
}

// enterEra records when this host first read the service in its current era.
func (w *watcher) enterEra(revision int64) {
	if w.eraSince.IsZero() || kvstore.EraOf(revision) != kvstore.EraOf(w.revision) {
		w.eraSince = boottime.Now()
	}
}
