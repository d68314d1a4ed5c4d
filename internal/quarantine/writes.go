package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// HasWrites reports whether this host may have to write anything, now or soon.
func (t *Tracker) HasWrites() bool { return t.mayWrite }

// hasUnwritten reports whether anything is still to be written.
func (t *Tracker) hasUnwritten() bool {
	for _, c := range t.crashes {
		if c.unwritten {
			return true
		}
	}
	for _, q := range t.probed {
		if q.lifted || q.lost {
			return true
		}
	}
	for _, j := range t.joint {
		if j.unwritten {
			return true
		}
	}
	return false
}

// TakeWrites returns the writes that are due. Each result must be passed to Written.
func (t *Tracker) TakeWrites(now time.Time) []Write {
	if !t.mayWrite {
		return nil
	}
	var out []Write
	if w, ok := t.crashWrite(now); ok {
		out = append(out, w)
	}
	for x, q := range t.probed {
		if q.lost && !q.lifted && !now.Before(q.rewriteAt) {
			out = append(out, t.restoreWrite(x, q, now))
		}
		if !q.lifted || q.clearing || now.Before(q.clearAt) {
			continue
		}
		q.clearing = true
		key := t.opts.KeyPrefix + traitKey(x)
		out = append(out, t.newWrite(write{trait: x}, kvstore.Txn{
			Compares: []kvstore.Compare{kvstore.Unchanged(key, q.revision)},
			Success:  []kvstore.Op{{Kind: kvstore.OpDelete, Key: key}},
		}))
	}
	out = append(out, t.jointWrites(now)...)
	t.mayWrite = t.hasUnwritten()
	return out
}

// restoreWrite returns the write of the record of a trait that the key-value service has lost.
func (t *Tracker) restoreWrite(x Trait, q *traitState, now time.Time) Write {
	q.rewriteAt = now.Add(writeRetryPause)
	key := t.opts.KeyPrefix + traitKey(x)
	return t.newWrite(write{}, kvstore.Txn{
		Compares: []kvstore.Compare{kvstore.Absent(key)},
		Success:  []kvstore.Op{kvstore.Put(key, encode(q.traitRecord))},
	})
}

// crashWrite returns the write of the records that are due. Records without suspects are dropped.
func (t *Tracker) crashWrite(now time.Time) (Write, bool) {
	var w write
	var txn kvstore.Txn
	for _, key := range slices.Sorted(maps.Keys(t.crashes)) {
		c := t.crashes[key]
		switch {
		case !c.unwritten || c.writing || now.Before(c.writeAt):
			continue
		case c.isEmpty():
			delete(t.crashes, key)
			continue
		case len(w.crashes) == maxRecordsPerWrite:
			continue
		}
		c.writing = true
		w.crashes = append(w.crashes, key)
		txn.Success = append(txn.Success, kvstore.Put(t.opts.KeyPrefix+key, encode(c.crashRecord)))
	}
	if len(w.crashes) == 0 {
		return Write{}, false
	}
	return t.newWrite(w, txn), true
}

// Restore makes this host write records again that the key-value service has lost. What other hosts wrote is written by
// them at once, and by all others a little later, unless it is back by then.
func (t *Tracker) Restore(keys []string, now time.Time) {
	t.mayWrite = true
	for _, full := range keys {
		key := strings.TrimPrefix(full, t.opts.KeyPrefix)
		if c := t.crashes[key]; c != nil {
			c.unwritten, c.writeAt = true, now.Add(t.restoreDelay(c.Host))
		}
		if x, known := t.traitOf(key); known && t.probed[x] != nil {
			q := t.probed[x]
			q.lost, q.rewriteAt = true, now.Add(t.restoreDelay(q.Host))
		}
		t.restoreJoint(key, now)
	}
}

// restoreDelay returns the delay after which this host writes a record of a host again.
func (t *Tracker) restoreDelay(writer entity.HostID) time.Duration {
	spread := t.opts.Rand.Float64()
	if writer == t.opts.Host {
		return time.Duration(spread * float64(ownRestoreSpread))
	}
	return ownRestoreSpread + time.Duration(spread*float64(maxClearDelay))
}

func (t *Tracker) newWrite(w write, txn kvstore.Txn) Write {
	t.lastWrite++
	t.inFlight[t.lastWrite] = w
	return Write{ID: t.lastWrite, Txn: txn}
}

// Written processes the result of a write. A write that failed, or whose result is not known, is repeated: writing the
// same record again changes nothing.
func (t *Tracker) Written(id uint64, succeeded bool, now time.Time) {
	w := t.inFlight[id]
	delete(t.inFlight, id)
	if w.joint != "" {
		t.jointWritten(w.joint, succeeded, now)
	}
	for _, key := range w.crashes {
		c := t.crashes[key]
		if c == nil {
			continue
		}
		c.writing = false
		c.unwritten = !succeeded
		c.writeAt = now.Add(writeRetryPause)
	}
	if q := t.probed[w.trait]; q != nil {
		// The removal of the key is seen like every other change.
		q.clearing = false
		q.clearAt = now.Add(writeRetryPause)
	}
}

// Prune returns a transaction that removes old records from the key-value service, for the coordinator. It returns
// false if there are none.
func (t *Tracker) Prune(now time.Time) (kvstore.Txn, bool) {
	keys := slices.SortedFunc(maps.Keys(t.crashes), func(a, b string) int {
		return cmp.Or(t.crashes[a].learnedAt.Compare(t.crashes[b].learnedAt), cmp.Compare(a, b))
	})
	var txn kvstore.Txn
	for i, key := range keys {
		c := t.crashes[key]
		tooMany := len(keys)-i > maxRecords
		if c.unwritten || !tooMany && now.Sub(c.learnedAt) < recordRetention || len(txn.Success) == maxRecordsPerWrite {
			continue
		}
		txn.Success = append(txn.Success, kvstore.Op{Kind: kvstore.OpDelete, Key: t.opts.KeyPrefix + key})
	}
	txn.Success = append(txn.Success, t.pruneJoint(now)...)
	return txn, len(txn.Success) > 0
}
