package placement

import (
	"errors"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// HandleOrderResult records the result of a SendOrder command. An order is sent at most once, so it has one
// result.
func (p *Placer) HandleOrderResult(orderID string, outcome command.OrderOutcome, now time.Time) []command.Command {
	r, ok := p.orderResults[orderID]
	if !ok {
		return nil
	}
	r.outcome = outcome
	r.at = now
	p.orderResults[orderID] = r
	p.markUpstreamDirty(r.upstream)
	p.wakeUpstream(now.Add(settleDelay), r.upstream)
	return nil
}

// HandleWriteResult applies the result of a WriteRecords command and returns the commands that follow from it.
func (p *Placer) HandleWriteResult(id uint64, result kvstore.TxnResult, err error, now time.Time) []command.Command {
	p.now = now
	w := p.writes[id]
	if w == nil {
		return nil
	}
	delete(p.writes, id)
	if id == w.readBack {
		p.handleReadBack(w, result, err, now)
		return p.takeCommands()
	}
	switch {
	case errors.Is(err, kvstore.ErrUnavailable):
		p.kvRetryAt = now.Add(kvRetryDelay)
		p.endWrite(w)
	case err != nil:
		p.stats.UnknownWrites++
		p.kvRetryAt = now.Add(kvRetryDelay)
		w.unknown = true
		w.readBackAt = now.Add(readBackAfter)
		p.wakeUpstream(w.readBackAt, w.up.id)
		if w.up.rev > w.baseRev {
			// The watch delivered a newer record before the call failed.
			p.endWrite(w)
		}
	case result.Succeeded:
		p.confirmWrite(w, result.Revision, now)
	default:
		p.stats.Conflicts++
		p.applyReads(result.Gets, now)
		p.endWrite(w)
	}
	p.sendOwnOrders(w.up)
	return p.takeCommands()
}

// confirmWrite installs the records of a successful write.
func (p *Placer) confirmWrite(w *write, rev int64, now time.Time) {
	p.setPlacement(w.up, w.placement, rev, now)
	for i, m := range w.models {
		p.setModelRecord(m, w.modelRecs[i], rev)
	}
	p.endWrite(w)
}

// handleReadBack ends a write with an unknown outcome after its records were read. If the records are
// unchanged, the write may still take effect later. That is safe: the compare of a newer write then fails,
// and orders are sent only from confirmed records.
func (p *Placer) handleReadBack(w *write, result kvstore.TxnResult, err error, now time.Time) {
	if w.resolved {
		return
	}
	w.readBack = 0
	if err != nil {
		w.readBackAt = now.Add(readBackAfter)
		p.wakeUpstream(w.readBackAt, w.up.id)
		return
	}
	p.applyReads(result.Gets, now)
	p.endWrite(w)
	p.sendOwnOrders(w.up)
}

// applyReads applies the records that a transaction has read.
func (p *Placer) applyReads(gets []*kvstore.Pair, now time.Time) {
	for _, g := range gets {
		if g == nil {
			continue
		}
		if id, ok := strings.CutPrefix(g.Key, config.PlacementModelsPrefix); ok {
			p.applyModelRecord(entity.ModelID(id), g, now)
		}
		if id, ok := strings.CutPrefix(g.Key, config.PlacementUpstreamsPrefix); ok {
			p.applyUpstreamRecord(p.upstream(entity.UpstreamID(id)), g, now)
		}
	}
}

// endWrite ends a write, after which its records can be written again.
func (p *Placer) endWrite(w *write) {
	if w.resolved {
		return
	}
	w.resolved = true
	p.unconfirmedStoreLoads -= w.loadStarts.store
	p.unconfirmedAdapterLoads -= w.loadStarts.adapters
	for _, id := range w.loadStarts.entries {
		delete(p.unconfirmedLoads, id)
	}
	w.up.writing = nil
	p.markUpstreamDirty(w.up.id)
	p.markModelsDirty(w.up)
	for _, m := range w.models {
		m.writing = nil
		p.markModelDirty(m.id)
	}
}
