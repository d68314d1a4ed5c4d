package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"

	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// announceWorkers is the number of hosts that a new coordinator notifies concurrently.
const announceWorkers = 16

// announceToHosts sends the announcement of a new coordinator to all other hosts. Without it they would learn
// of the coordinator from the key-value service, but later and with one read each.
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
					l.Debug("Announcement not delivered.", "addr", addr, "err", err)
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

// applyAnnouncement adopts the coordinator that announces itself in m. Revisions rise from term to term, so
// an announcement that arrives late is ignored.
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
	w.election.LastHolder, w.election.LastRevision = h.Host, m.Revision
	if kvstore.EraOf(m.Revision) > kvstore.EraOf(w.revision) {
		w.readSoon()
	}
	w.updateRank()
	w.observeElection(w.election)
	w.send(holderChanged{holder: w.election.Holder})
}
