package view

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// disconnectableKV is one host's connection to the service. It can be taken down while other hosts still
// reach the service.
type disconnectableKV struct {
	*kv.Store
	down atomic.Bool
}

func (c *disconnectableKV) Range(ctx context.Context, r kvstore.RangeRequest) (kvstore.RangeResult, error) {
	if c.down.Load() {
		return kvstore.RangeResult{}, kvstore.ErrUnavailable
	}
	return c.Store.Range(ctx, r)
}

func (c *disconnectableKV) Watch(ctx context.Context, prefix string, from int64, fn func(kvstore.WatchBatch) error) error {
	if c.down.Load() {
		return kvstore.ErrUnavailable
	}
	return c.Store.Watch(ctx, prefix, from, func(b kvstore.WatchBatch) error {
		if c.down.Load() {
			return kvstore.ErrUnavailable
		}
		return fn(b)
	})
}

// fixture runs two managers with one key-value service and the links between them.
type fixture struct {
	t     *testing.T
	store *kv.Store
	// hosts 0 and 1 exchange heartbeats unless partitioned is set.
	hosts       [2]*Manager
	connections [2]*disconnectableKV
	partitioned atomic.Bool
	// dropAnswers drops the answers to view requests.
	dropAnswers atomic.Bool
	lease       kvstore.LeaseID
}

// runTwoHosts runs f in a synctest bubble with two hosts whose views contain one caller key record and one host record.
// If secondStopped is set, the manager of host 1 does not run, and its view is empty.
func runTwoHosts(t *testing.T, secondStopped bool, f func(x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{t: t, store: kv.NewStore(kv.Options{})}
		ctx, cancel := context.WithCancel(t.Context())
		x.lease, _ = x.store.Grant(ctx, time.Hour)
		x.put("v/keys/1", "issued")
		_, _ = x.store.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{kvstore.PutLeased("v/hosts/1", nil, x.lease)}})
		for i := range x.hosts {
			x.connections[i] = &disconnectableKV{Store: x.store}
			x.hosts[i] = NewManager(Options{KV: x.connections[i], Self: entity.Incarnation(rune('a' + i))})
			if i == 0 || !secondStopped {
				go x.hosts[i].Run(ctx)
			}
		}
		go x.exchangeMessages(ctx)
		time.Sleep(2 * time.Second)
		f(x)
		cancel()
		synctest.Wait()
	})
}

func (x *fixture) put(key, value string) {
	x.t.Helper()
	if _, err := x.store.Txn(x.t.Context(), kvstore.Txn{Success: []kvstore.Op{kvstore.Put(key, []byte(value))}}); err != nil {
		x.t.Fatal(err)
	}
}

// exchangeMessages simulates the links between the hosts: heartbeats every 500 ms, view requests and their
// answers.
func (x *fixture) exchangeMessages(ctx context.Context) {
	for seq := uint64(1); sleep(ctx, 500*time.Millisecond); seq++ {
		if x.partitioned.Load() {
			continue
		}
		for i, m := range x.hosts {
			now := time.Now()
			m.HeartbeatSent(seq, now)
			peer := x.hosts[1-i]
			// The peer has received only the previous heartbeat.
			hb := heartbeat(peer, seq-1, m.opt.Self)
			req := m.HandlePeerHeartbeat(entity.HostID(peer.opt.Self), hb, now)
			if req != nil && !x.dropAnswers.Load() {
				if d := peer.HandleViewRequest(req); d != nil {
					m.HandlePeerDelta(*d, now)
				}
			}
		}
	}
}

// heartbeat returns the heartbeat that m would send to the given incarnation, whose heartbeat ack it acknowledges.
func heartbeat(m *Manager, ack uint64, to entity.Incarnation) *wire.Heartbeat {
	rev, age := m.ConfirmedRevision(time.Now())
	return &wire.Heartbeat{AckSeq: ack, AckIncarnation: to, Revision: rev, ConfirmedAge: age, ServiceReachable: m.ServiceReachable()}
}

// value returns the value of v/keys/1 in the view of a host.
func (x *fixture) value(host int) string {
	e, _ := x.hosts[host].Snapshot().Get("v/keys/1")
	return string(e.Value)
}

// requireFreshness fails the test unless IsFresh of the host returns the given value every 50 ms for the duration d.
func (x *fixture) requireFreshness(host int, fresh bool, d time.Duration) {
	x.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if x.hosts[host].IsFresh(time.Now()) != fresh {
			_, age := x.hosts[host].ConfirmedRevision(time.Now())
			x.t.Fatalf("host %d: IsFresh returned %v, want the opposite; age of the view %v, %v before the end of the check", host, !fresh, age, time.Until(end))
		}
	}
}

// TestWithdrawalReachesHosts guards against the withdrawal of a key that a host misses under a fault. Each case injects
// a fault and withdraws a key. Both hosts must have the withdrawal 2 s later, within the bound of 3 s, and stay fresh.
func TestWithdrawalReachesHosts(t *testing.T) {
	for name, fault := range map[string]func(x *fixture){
		"healthy":       func(x *fixture) {},
		"frozen watch":  func(x *fixture) { x.store.SetFaults(kv.Faults{FreezeWatches: true}) },
		"stale reads":   func(x *fixture) { x.store.SetFaults(kv.Faults{FreezeWatches: true, StaleReads: true}) },
		"slow service":  func(x *fixture) { x.store.SetFaults(kv.Faults{FreezeWatches: true, DelayMillis: 1000}) },
		"broken watch":  func(x *fixture) { x.store.BreakWatches() },
		"compaction":    func(x *fixture) { x.store.Compact(x.store.Revision()); x.store.BreakWatches() },
		"one host cut":  func(x *fixture) { x.connections[1].down.Store(true) },
		"links down":    func(x *fixture) { x.partitioned.Store(true) },
		"lost + frozen": func(x *fixture) { x.store.SetFaults(kv.Faults{FreezeWatches: true, LoseEvery: 100}) },
	} {
		t.Run(name, func(t *testing.T) {
			runTwoHosts(t, false, func(x *fixture) {
				fault(x)
				x.requireFreshness(0, true, 5*time.Second)
				x.requireFreshness(1, true, 5*time.Second)
				x.put("v/keys/1", "withdrawn")
				x.requireFreshness(1, true, 2*time.Second)
				for i := range x.hosts {
					if x.value(i) != "withdrawn" {
						t.Errorf("host %d has value %q, want \"withdrawn\"", i, x.value(i))
					}
				}
			})
		})
	}
}

// TestFreshnessInOutages guards against a host that serves with an old view after it has lost both the service and its
// peer, and against a host that refuses all requests when only the service is down.
func TestFreshnessInOutages(t *testing.T) {
	runTwoHosts(t, false, func(x *fixture) {
		x.store.SetFaults(kv.Faults{Refuse: true})
		x.requireFreshness(0, true, time.Minute)
		if x.hosts[0].ServiceReachable() {
			t.Error("ServiceReachable returned true while the service refuses all calls")
		}
		x.partitioned.Store(true)
		time.Sleep(2*time.Second + 100*time.Millisecond)
		x.requireFreshness(0, false, 5*time.Second)
		x.store.SetFaults(kv.Faults{})
		time.Sleep(2 * time.Second)
		x.requireFreshness(0, true, 5*time.Second)
	})
	// A host that reaches neither the service nor its peer must not serve, because the peer may have a newer view.
	runTwoHosts(t, false, func(x *fixture) {
		x.connections[0].down.Store(true)
		x.partitioned.Store(true)
		time.Sleep(2*time.Second + 100*time.Millisecond)
		x.put("v/keys/1", "withdrawn")
		x.requireFreshness(0, false, 5*time.Second)
		if x.value(0) != "issued" || x.value(1) != "withdrawn" {
			t.Errorf("host 0 has value %q, want \"issued\"; host 1 has value %q, want \"withdrawn\"", x.value(0), x.value(1))
		}
	})
}

// TestNotFreshWithNewerPeer guards against a host that serves with an old view although a peer has a newer
// view or reaches the service.
func TestNotFreshWithNewerPeer(t *testing.T) {
	runTwoHosts(t, false, func(x *fixture) {
		x.dropAnswers.Store(true)
		x.connections[0].down.Store(true)
		x.put("v/keys/1", "withdrawn")
		time.Sleep(2*time.Second + 100*time.Millisecond)
		x.requireFreshness(0, false, 5*time.Second)
		x.connections[1].down.Store(true)
		x.requireFreshness(0, false, 5*time.Second)
		x.dropAnswers.Store(false)
		time.Sleep(time.Second)
		x.requireFreshness(0, true, 5*time.Second)
	})
}

// TestBufferedHeartbeatDoesNotConfirmView guards against treating a heartbeat or delta of a peer as new although it
// waited in a buffer, for example while this host was paused.
func TestBufferedHeartbeatDoesNotConfirmView(t *testing.T) {
	runTwoHosts(t, false, func(x *fixture) {
		x.partitioned.Store(true)
		x.connections[0].down.Store(true)
		m := x.hosts[0]
		m.HeartbeatSent(1000, time.Now())
		old := heartbeat(x.hosts[1], 1000, m.opt.Self)
		time.Sleep(10 * time.Second)
		old.ServiceReachable = false
		m.HandlePeerHeartbeat("b", old, time.Now())
		x.requireFreshness(0, false, time.Second)
		old.AckSeq = 0
		m.HandlePeerHeartbeat("b", old, time.Now())
		d := x.hosts[1].HandleViewRequest(&wire.ViewRequest{Since: 1})
		m.HandlePeerDelta(*d, time.Now())
		x.requireFreshness(0, false, time.Second)
	})
}

// TestDeletedHostIsRemovedFromView guards against keys that stay in the view after their lease has expired. When the
// watch is frozen, polls do not find the deletion, because a poll by revision returns only puts.
func TestDeletedHostIsRemovedFromView(t *testing.T) {
	for name, tc := range map[string]struct {
		fault  kv.Faults
		other  bool
		within time.Duration
	}{
		"watch":              {kv.Faults{}, false, 100 * time.Millisecond},
		"sweep":              {kv.Faults{FreezeWatches: true}, false, 35 * time.Second},
		"detected by change": {kv.Faults{FreezeWatches: true}, true, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runTwoHosts(t, false, func(x *fixture) {
				x.store.SetFaults(tc.fault)
				x.store.ExpireLease(x.lease)
				if tc.other {
					x.put("v/keys/2", "issued")
				}
				time.Sleep(tc.within)
				if _, ok := x.hosts[0].Snapshot().Get("v/hosts/1"); ok {
					t.Error("the host record whose lease expired is still in the view")
				}
			})
		})
	}
}

// TestClusterChangeIsRefused guards against applying data of a service that was restored from a backup to the view from
// before: their revisions cannot be compared.
func TestClusterChangeIsRefused(t *testing.T) {
	runTwoHosts(t, false, func(x *fixture) {
		x.store.SetClusterID(99)
		x.put("v/keys/1", "restored")
		time.Sleep(5 * time.Second)
		if x.value(0) != "issued" || x.hosts[0].ServiceReachable() || x.hosts[0].Stats().ClusterRefusals.Load() == 0 {
			t.Errorf("value %q, want \"issued\" and an unreachable service; %d refusals, want at least 1", x.value(0), x.hosts[0].Stats().ClusterRefusals.Load())
		}
	})
}

// TestStartWithViewOfPeer guards against a host that cannot start while the service is down, although a peer
// has the view.
func TestStartWithViewOfPeer(t *testing.T) {
	runTwoHosts(t, true, func(x *fixture) {
		x.store.SetFaults(kv.Faults{Refuse: true})
		ctx, cancel := context.WithCancel(x.t.Context())
		go x.hosts[1].Run(ctx)
		time.Sleep(3 * time.Second)
		if x.value(1) != "issued" {
			t.Error("the host has not received the view of its peer")
		}
		x.requireFreshness(1, true, 10*time.Second)
		x.store.SetFaults(kv.Faults{})
		x.put("v/keys/1", "withdrawn")
		time.Sleep(3 * time.Second)
		if x.value(1) != "withdrawn" || !x.hosts[1].ServiceReachable() {
			t.Errorf("after the outage: value %q, want \"withdrawn\" and a reachable service", x.value(1))
		}
		cancel()
	})
}
