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

// ErrSuperseded means that a newer process has registered under this host's name.
var ErrSuperseded = errors.New("host: a newer process has registered under this host name")

// registerRetry is the pause after a failed call of the key-value service.
const registerRetry = 300 * time.Millisecond

// registrar keeps the registration of this process under a lease. One lease serves all records
// of the process, so renewing costs one call per third of its life.
type registrar struct {
	kv   kvstore.KV
	ttl  time.Duration
	log  *log.Logger
	send func(control.Event)

	mu    sync.Mutex
	rec   config.HostRecord
	lease kvstore.LeaseID
	// revision is the mod revision of this process's registration, zero before the first.
	revision int64
	dirty    bool
	wake     chan struct{}
}

func newRegistrar(kv kvstore.KV, rec config.HostRecord, ttl time.Duration, l *log.Logger, send func(control.Event)) *registrar {
	return &registrar{kv: kv, rec: rec, ttl: ttl, log: l, send: send, dirty: true, wake: make(chan struct{}, 1)}
}

// setState changes the state in the registration.
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

// run registers and renews until ctx ends. It returns ErrSuperseded when a newer process has
// taken the name.
func (r *registrar) run(ctx context.Context) error {
	failing := false
	for {
		wait := r.ttl / 3
		err := r.step(ctx)
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
			wait = registerRetry
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

// step renews the lease and writes the registration when it is missing or has changed.
func (r *registrar) step(ctx context.Context) error {
	// The term counts from before the call, so that it never outlasts the lease at the service.
	asked := time.Now()
	ttl, err := r.renew(ctx)
	if err != nil {
		return err
	}
	if err := r.write(ctx); err != nil {
		return err
	}
	r.send(control.LeaseRenewed{ValidUntil: asked.Add(ttl)})
	return nil
}

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

// write puts the registration unless a newer process has put its own.
func (r *registrar) write(ctx context.Context) error {
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
	return r.resolve(ctx, rec, lease, res)
}

// resolve handles a registration that is not as this process left it: it has expired with its
// lease, an earlier write of this process has taken effect after all, or another process has it.
func (r *registrar) resolve(ctx context.Context, rec config.HostRecord, lease kvstore.LeaseID, res kvstore.TxnResult) (int64, error) {
	r.mu.Lock()
	first := r.revision == 0
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
	case !first:
		return 0, ErrSuperseded
	case other.PeerAddr == rec.PeerAddr:
		// Two processes cannot listen on one address, so the former one is gone.
		return r.put(ctx, rec, lease, found.ModRevision)
	}
	// The former process may be alive at its own address. Hiding its registration would let other
	// hosts take it for gone.
	return 0, fmt.Errorf("host: the name %s is registered at %s until its lease expires", rec.ID, other.PeerAddr)
}

// release gives the lease back, which removes the registration.
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
