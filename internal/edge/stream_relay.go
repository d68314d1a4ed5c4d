package edge

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/releases"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// relayInterval is how often records of streams are relayed at most.
	relayInterval = 50 * time.Millisecond
	// relayRetryPause is the pause after a relay that no host has answered.
	relayRetryPause = 250 * time.Millisecond
	// relayTimeout bounds the exchange with one host.
	relayTimeout = 400 * time.Millisecond
	// maxRelayCopies is the number of hosts that keep a record while none of them can write it, and maxRelayTries the number
	// of hosts that are asked.
	maxRelayCopies = 3
	maxRelayTries  = 5
	// relayedWriteDelay is the time after which a host writes relayed records that it cannot write now, because it knows of an
	// outage: the hosts of the streams write them first.
	relayedWriteDelay = time.Second
)

// errNotKept reports that a host did not confirm that it keeps records.
var errNotKept = errors.New("edge: records of streams are not kept")

// streamRelay relays the records of streams to other hosts while this host cannot write them, so that the streams can be taken
// up if this host ends before it can.
type streamRelay struct {
	host *Host
	// addrs are the addresses at which the registered hosts serve other hosts.
	addrs atomic.Pointer[map[entity.HostID]string]
	// preferred is the host that has last written relayed records.
	preferred entity.HostID
}

// setHosts implements effects.
func (h *Host) setHosts(addrs map[entity.HostID]string) { h.streamRelay.addrs.Store(&addrs) }

// run relays records until ctx ends.
func (r *streamRelay) run(ctx context.Context) {
	streams := r.host.frontend.streams
	for {
		select {
		case <-ctx.Done():
			return
		case <-streams.RelayQueued():
		}
		for pause := relayInterval; streams.HasUnrelayed(); {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = relayInterval
			if !r.relay(ctx, streams.TakeRelay(boottime.Now())) {
				pause = relayRetryPause
			}
		}
	}
}

// relay passes a batch to other hosts, until one of them can write it or several keep it. It returns false if none keeps it; the
// batch is taken again then.
func (r *streamRelay) relay(ctx context.Context, batch releases.Relay) bool {
	if len(batch.Records) == 0 {
		return true
	}
	frame, err := peer.Encode(&wire.StreamRecords{Records: batch.Records})
	if err != nil {
		r.host.log.Error("Records of streams cannot be relayed.", "err", err)
		return true
	}
	copies := 0
	for _, id := range r.candidates() {
		kept, err := r.ask(ctx, (*r.addrs.Load())[id], frame)
		if err != nil {
			r.host.log.Debug("Records of streams not relayed.", "to", id, "err", err)
			continue
		}
		copies++
		if kept.Writable {
			r.preferred = id
			r.host.log.Info("Records of streams relayed.", "streams", len(batch.Records), "to", id)
			return true
		}
		if copies == maxRelayCopies {
			break
		}
	}
	r.preferred = ""
	r.host.log.Info("Records of streams kept by hosts that cannot write them.", "streams", len(batch.Records), "hosts", copies)
	if copies == 0 {
		r.host.frontend.streams.RelayFailed(batch)
	}
	return copies > 0
}

// candidates returns the hosts to be asked, in order.
func (r *streamRelay) candidates() []entity.HostID {
	addrs := r.addrs.Load()
	if addrs == nil {
		return nil
	}
	self := r.host.opts.Settings.Host
	ids := slices.Collect(maps.Keys(*addrs))
	ids = slices.DeleteFunc(ids, func(id entity.HostID) bool { return id == self || (*addrs)[id] == "" })
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if i := slices.Index(ids, r.preferred); i > 0 {
		ids[0], ids[i] = ids[i], ids[0]
	}
	return ids[:min(len(ids), maxRelayTries)]
}

// ask sends records to a host and waits for its answer.
func (r *streamRelay) ask(ctx context.Context, addr string, frame peer.Frame) (*wire.StreamRecordsKept, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer, err := peer.Ask(ctx, addr, frame)
	if err != nil {
		return nil, err
	}
	kept, ok := answer.(*wire.StreamRecordsKept)
	if !ok {
		return nil, errNotKept
	}
	return kept, nil
}

// recordsRelayed keeps the records of streams that another host cannot write, and answers it.
func (h *Host) recordsRelayed(s *peer.Session, m *wire.StreamRecords) {
	now := boottime.Now()
	writable := h.watcher.readableSince.Load() != 0
	dueAt := now
	if !writable {
		dueAt = now.Add(relayedWriteDelay)
	}
	if !h.keptStreams.Relayed(m.Records, dueAt, now) {
		h.log.Warn("Relayed records of streams not kept.", "streams", len(m.Records))
		return
	}
	if err := s.Send(&wire.StreamRecordsKept{Writable: writable}); err != nil {
		h.log.Debug("Relayed records of streams not confirmed.", "err", err)
	}
}
