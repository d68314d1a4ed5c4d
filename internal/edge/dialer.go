package edge

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// dialer maintains this host's session with the coordinator.
type dialer struct {
	log  *slog.Logger
	send func(event)
	wake chan struct{}
	// searching is watcher.searching.
	searching *atomic.Bool
	// enqueueRelayed passes on messages of the coordinator about the key-value service. It returns false when
	// too many wait.
	enqueueRelayed func(relayed) bool

	mu      sync.Mutex
	holder  *election.Holder
	session *peer.Session
}

// connect sets the coordinator, nil for none. A session with another address is closed; a session with an
// earlier process at the same address ends by itself.
func (d *dialer) connect(h *election.Holder) {
	d.mu.Lock()
	moved := h == nil || d.holder == nil || d.holder.Addr != h.Addr
	d.holder = h
	if moved && d.session != nil {
		d.session.Close()
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *dialer) currentHolder() *election.Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder
}

func (d *dialer) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := d.currentHolder()
		if h == nil {
			select {
			case <-ctx.Done():
			case <-d.wake:
			}
			continue
		}
		d.runSession(ctx, *h)
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// runSession runs one session with the coordinator. The session is established by the first message received
// on it, because the kernel accepts connections for a frozen process, too.
func (d *dialer) runSession(ctx context.Context, h election.Holder) {
	s, err := peer.Dial(ctx, h.Addr)
	if err != nil {
		d.searching.Store(true)
		d.log.Debug("Coordinator not reached.", "host", h.Host, "err", err)
		return
	}
	d.mu.Lock()
	current := d.holder != nil && d.holder.Addr == h.Addr
	if current {
		d.session = s
	}
	d.mu.Unlock()
	if !current {
		s.Close()
		return
	}
	d.send(coordinatorDialed{session: s})
	stop := context.AfterFunc(ctx, s.Close)
	begun := false
	err = s.Run(func(m wire.Message) {
		if !begun {
			begun = true
			d.sessionBegun(s, h)
		}
		d.handleMessage(s, m)
	})
	stop()
	d.searching.Store(true)
	d.log.Warn("Session with the coordinator lost.", "host", h.Host, "begun", begun, "err", err)
	d.send(coordinatorLinkChanged{session: s})
}

// sessionBegun records that the coordinator has answered on a session.
func (d *dialer) sessionBegun(s *peer.Session, h election.Holder) {
	d.searching.Store(false)
	d.log.Info("Session with the coordinator begun.", "host", h.Host)
	d.send(coordinatorLinkChanged{session: s, up: true})
}

// handleMessage passes on a message of the coordinator.
func (d *dialer) handleMessage(s *peer.Session, m wire.Message) {
	accepted := true
	switch m := m.(type) {
	case *wire.FleetState:
		d.send(fleetStateReceived{state: m})
	case *wire.TokenResponse:
		d.send(tokensAnswered{answer: m})
	case *wire.UpstreamNotices:
		d.send(noticesReceived{notices: m})
	case *wire.ListUpdate:
		accepted = d.enqueueRelayed(relayed{update: m})
	case *wire.HostState:
		if m.ConfirmedSentAt != 0 || m.StoreReadableFor > 0 {
			accepted = d.enqueueRelayed(relayed{confirmedAt: m.ConfirmedSentAt, revision: m.Revision, storeReadableFor: m.StoreReadableFor})
		}
		d.send(hostStateReceived{state: m})
	}
	if !accepted {
		d.log.Warn("Too many updates of the coordinator wait.")
		s.Close()
	}
}
