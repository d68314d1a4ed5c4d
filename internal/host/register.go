package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// ErrSuperseded means that a newer process has registered under the name of this host.
var ErrSuperseded = errors.New("host: a newer process has registered under this host name")

// registerRetryDelay is the delay after a failed call of the key-value service.
const registerRetryDelay = 300 * time.Millisecond

// registrar writes the registration of this process and renews its lease. One lease covers all records of the
// process, so that renewal costs one call per third of the lease's TTL.
type registrar struct {
	kv   kvstore.KV
	ttl  time.Duration
	log  *log.Logger
	send func(control.Event)

	mu    sync.Mutex
	rec   config.HostRecord
	lease kvstore.LeaseID
	// revision is the mod revision of the registration of this process, zero before the first write.
	revision int64
	// dirty is set while the registration must be written.
	dirty bool
	// wake makes run call refresh without waiting for the next renewal.
	wake chan struct{}
}

func newRegistrar(kv kvstore.KV, rec config.HostRecord, ttl time.Duration, l *log.Logger, send func(control.Event)) *registrar {
	return &registrar{kv: kv, rec: rec, ttl: ttl, log: l, send: send, dirty: true, wake: make(chan struct{}, 1)}
}

// setState changes the state in the registration and makes run write it at once.
func (r *registrar) setState(state string) {
	r.mu.Lock()
	r.rec.State = state
	r.dirty = true
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run registers this process and renews the lease until ctx ends. It returns ErrSuperseded if a newer process
// has registered under the same host name.
func (r *registrar) run(ctx context.Context) error {
	failing := false
	for {
		wait := r.ttl / 3
		err := r.refresh(ctx)
		switch {
		case errors.Is(err, ErrSuperseded):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			if !failing {
				r.log.Warn("Registration not renewed.", "err", err)
			}
			failing = true
			wait = registerRetryDelay
		case failing:
			failing = false
			r.log.Info("Registration renewed again.")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-time.After(wait):
		}
	}
}

// refresh renews the lease, and writes the registration if it is missing or has changed.
func (r *registrar) refresh(ctx context.Context) error {
	// The validity is counted from before the call, so that it never ends after the lease at the service.
	callStart := time.Now()
	ttl, err := r.renew(ctx)
	if err != nil {
		return err
	}
	if err := r.writeIfChanged(ctx); err != nil {
		return err
	}
	r.send(control.LeaseRenewed{ValidUntil: callStart.Add(ttl)})
	return nil
}

// renew renews the lease, or obtains a new lease if there is none or the old one has expired. It returns how long
// the lease is valid.
func (r *registrar) renew(ctx context.Context) (time.Duration, error) {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		ttl, err := r.kv.KeepAlive(ctx, lease)
		if err == nil {
			return min(ttl, r.ttl), nil
		}
		if !errors.Is(err, kvstore.ErrLeaseNotFound) {
			return 0, fmt.Errorf("host: renew lease: %w", err)
		}
		r.log.Warn("Lease expired; registering again.")
	}
	lease, err := r.kv.Grant(ctx, r.ttl)
	if err != nil {
		return 0, fmt.Errorf("host: grant lease: %w", err)
	}
	r.mu.Lock()
	r.lease = lease
	r.dirty = true
	r.mu.Unlock()
	return r.ttl, nil
}

// writeIfChanged writes the registration if it has changed, unless a newer process has registered.
func (r *registrar) writeIfChanged(ctx context.Context) error {
	r.mu.Lock()
	rec, lease, revision, dirty := r.rec, r.lease, r.revision, r.dirty
	r.dirty = false
	r.mu.Unlock()
	if !dirty {
		return nil
	}
	rev, err := r.put(ctx, rec, lease, revision)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.dirty = true
		return err
	}
	r.revision = rev
	return nil
}

// put writes the registration, on the condition that the stored one has the given mod revision, or that none is
// stored if the revision is zero. It returns the new mod revision.
func (r *registrar) put(ctx context.Context, rec config.HostRecord, lease kvstore.LeaseID, revision int64) (int64, error) {
	key := config.HostsPrefix + string(rec.ID)
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("host: encode registration: %w", err)
	}
	txn := kvstore.Txn{Success: []kvstore.Op{kvstore.PutLeased(key, value, lease)}, Failure: []kvstore.Op{{Kind: kvstore.OpGet, Key: key}}}
	if revision == 0 {
		txn.Compares = []kvstore.Compare{kvstore.Absent(key)}
	} else {
		txn.Compares = []kvstore.Compare{kvstore.Unchanged(key, revision)}
	}
	res, err := r.kv.Txn(ctx, txn)
	switch {
	case err != nil:
		return 0, fmt.Errorf("host: write registration: %w", err)
	case res.Succeeded:
		return res.Revision, nil
	}
	return r.resolveConflict(ctx, rec, lease, res)
}

// resolveConflict handles a stored registration that differs from the last one that this process wrote. Either the
// registration has expired with its lease, an earlier write of this process with an unknown outcome was applied, or
// another process has registered.
func (r *registrar) resolveConflict(ctx context.Context, rec config.HostRecord, lease kvstore.LeaseID, res kvstore.TxnResult) (int64, error) {
	r.mu.Lock()
	neverWritten := r.revision == 0
	r.mu.Unlock()
	if len(res.Gets) == 0 || res.Gets[0] == nil {
		return r.put(ctx, rec, lease, 0)
	}
	found := res.Gets[0]
	var other config.HostRecord
	if err := json.Unmarshal(found.Value, &other); err != nil {
		return 0, fmt.Errorf("host: read registration: %w", err)
	}
	switch {
	case other.Incarnation == rec.Incarnation:
		return r.put(ctx, rec, lease, found.ModRevision)
	case !neverWritten:
		return 0, ErrSuperseded
	case other.PeerAddr == rec.PeerAddr:
		// Two processes cannot listen on one address, so the earlier process has ended.
		return r.put(ctx, rec, lease, found.ModRevision)
	}
	// The earlier process may still run at its own address. If its registration were replaced, other hosts
	// would conclude that it has ended.
	return 0, fmt.Errorf("host: the name %s is registered at %s until its lease expires", rec.ID, other.PeerAddr)
}

// release revokes the lease, which removes the registration.
func (r *registrar) release(ctx context.Context) {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := r.kv.Revoke(ctx, lease); err != nil {
		r.log.Warn("Lease not released; it will expire.", "err", err)
	}
}
