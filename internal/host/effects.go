package host

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// writeTimeout limits the duration of a write for the control state. The outcome of a write that takes
	// longer is unknown.
	writeTimeout = 3 * time.Second
	// orderTimeout limits the time for sending an order, to load or unload a model, to an engine.
	orderTimeout = 3 * time.Second
)

// effects carries out the commands of the control state. Every write and order runs on its own goroutine, because a
// slow key-value service or engine must not block the control goroutine.
type effects struct {
	kv        kvstore.KV
	peers     *peer.Manager
	upstreams *upstream.Client
	reporter  *reporter
	log       *log.Logger
	// sendEvent sends results to the control state.
	sendEvent func(control.Event)
}

// SendPeer implements control.Effects.
func (e *effects) SendPeer(to entity.HostID, m wire.Message) { e.peers.Send(to, m) }

// WriteRecords implements control.Effects.
func (e *effects) WriteRecords(id uint64, txn kvstore.Txn) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		res, err := e.kv.Txn(ctx, txn)
		if err != nil {
			e.log.Debug("Write failed.", "err", err)
		}
		e.sendEvent(control.WriteResult{ID: id, Result: res, Err: err})
	}()
}

// SendOrder implements control.Effects.
func (e *effects) SendOrder(addr string, o command.SendOrder) {
	go func() {
		outcome, reason := command.OrderNotSent, "upstream is not listed"
		if addr != "" {
			deadline := time.Now().Add(orderTimeout)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			outcome, reason = e.upstreams.SendOrder(ctx, addr, o.Order, deadline)
			e.reporter.readAtFullRate(o.Upstream)
		}
		e.log.Info("Order sent.", "upstream", o.Upstream, "action", o.Order.Action, "model", o.Order.Model,
			"adapter", o.Order.Adapter, "order", o.Order.OrderID, "outcome", outcome, "reason", reason)
		e.sendEvent(control.OrderResult{OrderID: o.Order.OrderID, Outcome: outcome})
	}()
}
