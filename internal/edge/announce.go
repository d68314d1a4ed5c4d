package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"

	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// announcers bounds the hosts that a new coordinator tells at once.
const announceWorkers = 16

// announceAll tells all other hosts who coordinates. They would learn it from the key-value service, but
// later and with a read each.
func announceToHosts(ctx context.Context, addrs map[entity.HostID]string, self entity.HostID, m *wire.Announcement, l *slog.Logger) {
	frame, err := peer.Encode(m)
	if err != nil {
		l.Error("Announcement cannot be encoded.", "err", err)
		return
	}
	targets := make(chan string)
	var wg sync.WaitGroup
	for range announceWorkers {
		wg.Go(func() {
			for addr := range targets {
				if err := peer.SendOnce(ctx, addr, frame); err != nil {
					l.Debug("Host not told of the coordinator.", "addr", addr, "err", err)
				}
			}
		})
	}
	for host, addr := range addrs {
		if host != self && addr != "" {
			targets <- addr
		}
	}
	close(targets)
	wg.Wait()
}

// takeAnnounced takes over who coordinates from that host itself. Terms rise, so an announcement that
// comes late is ignored.
func (w *watcher) applyAnnouncement(m *wire.Announcement) {
	if m.Revision <= w.election.Revision || m.Revision <= w.election.LastRevision {
		return
	}
	var h election.Holder
	if err := json.Unmarshal(m.Holder, &h); err != nil || h.Addr == "" || h.Host == w.self.Host {
		w.log.Warn("Announcement of a coordinator ignored.", "revision", m.Revision, "err", err)
		return
	}
	w.election.Holder, w.election.Revision = &h, m.Revision
	w.election.Last, w.election.LastRevision = h.Host, m.Revision
	w.updateRank()
	w.observeElection(w.election)
	w.send(holderChanged{holder: w.election.Holder})
}
