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

// HandleOrderResult takes the result of sending an order once.
func (p *Placer) HandleOrderResult(orderID string, outcome command.OrderOutcome, now time.Time) []command.Command {
	r, ok := p.results[orderID]
	if !ok {
		return nil
	}
	r.outcome = outcome
	r.at = now
	p.results[orderID] = r
	p.touchUpstream(r.upstream)
	p.wakeUpstream(now.Add(settleDelay), r.upstream)
	return nil
}

// HandleWriteResult takes the result of a WriteRecords command.
func (p *Placer) HandleWriteResult(id uint64, result kvstore.TxnResult, err error, now time.Time) []command.Command {
	p.now = now
	w := p.writes[id]
	if w == nil {
		return nil
	}
	delete(p.writes, id)
	if id == w.readBack {
		p.handleReadBack(w, result, err, now)
		return p.take()
	}
	switch {
	case errors.Is(err, kvstore.ErrUnavailable):
		p.retryStore = now.Add(storeRetry)
		p.release(w)
	case err != nil:
		p.stats.UnknownWrites++
		p.retryStore = now.Add(storeRetry)
		w.unknown = true
		w.readAt = now.Add(readBackAfter)
		p.wakeUpstream(w.readAt, w.up.id)
		if w.up.rev > w.upBase {
			// The watch was faster than the failed answer.
			p.release(w)
		}
	case result.Succeeded:
		p.adopt(w, result.Revision, now)
	default:
		p.stats.Conflicts++
		p.takeGets(result.Gets, now)
		p.release(w)
	}
	p.sendOwn(w.up)
	return p.take()
}

func (p *Placer) adopt(w *write, rev int64, now time.Time) {
	p.setPlacement(w.up, w.place, rev, now)
	for i, m := range w.models {
		p.setModel(m, w.recs[i], rev)
	}
	p.release(w)
}

// handleReadBack ends an unknown write. When the record is unchanged the write can still land
// later, but then a newer write's compare fails, and orders follow only from confirmed records.
func (p *Placer) handleReadBack(w *write, result kvstore.TxnResult, err error, now time.Time) {
	if w.resolved {
		return
	}
	w.readBack = 0
	if err != nil {
		w.readAt = now.Add(readBackAfter)
		p.wakeUpstream(w.readAt, w.up.id)
		return
	}
	p.takeGets(result.Gets, now)
	p.release(w)
	p.sendOwn(w.up)
}

func (p *Placer) takeGets(gets []*kvstore.Pair, now time.Time) {
	for _, g := range gets {
		if g == nil {
			continue
		}
		if id, ok := strings.CutPrefix(g.Key, config.PlaceModels); ok {
			p.takeModel(entity.ModelID(id), g, now)
		}
		if id, ok := strings.CutPrefix(g.Key, config.PlaceUpstreams); ok {
			p.takeUpstream(p.upstream(entity.UpstreamID(id)), g, now)
		}
	}
}

// release lets the records of a finished write be written again.
func (p *Placer) release(w *write) {
	if w.resolved {
		return
	}
	w.resolved = true
	p.storeStarts -= w.starts.store
	p.adapterStarts -= w.starts.adapters
	for _, id := range w.starts.entries {
		delete(p.starting, id)
	}
	w.up.writing = nil
	p.touchUpstream(w.up.id)
	p.touchModelsOf(w.up)
	for _, m := range w.models {
		m.writing = nil
		p.touchModel(m.id)
	}
}
