package edge

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// registrationTTL is the time to live of the lease of a registration, which is renewed every
	// registrationRenewInterval.
	registrationTTL           = 9 * time.Second
	registrationRenewInterval = 3 * time.Second
	// registrationMargin is how long before the end of its lease a registration is no longer certain.
	registrationMargin = 300 * time.Millisecond
	// registrationRetryPause is the pause after a failed registration or renewal; it doubles up to
	// maxRegistrationRetryPause.
	registrationRetryPause    = 500 * time.Millisecond
	maxRegistrationRetryPause = 2 * time.Second
)

// registrar keeps this host registered, so that the other hosts know by how many hosts to divide the fixed
// shares.
type registrar struct {
	store kvstore.KV
	key   string
	value []byte
	log   *slog.Logger
	send  func(event)
	// lease is zero while the host is not registered.
	lease atomic.Int64
	// abandoned is the lease of a registration whose outcome is not known, zero if there is none. If it were written late,
	// it would take the place of a later one and end with a lease that nobody renews.
	abandoned kvstore.LeaseID
	// validUntil is the time until which the registration was certain when it was last renewed.
	validUntil time.Time
}

func (r *registrar) run(ctx context.Context) {
	retry := registrationRetryPause
	for ctx.Err() == nil {
		pause := registrationRenewInterval
		err := r.renewOrRegister(ctx)
		switch {
		case err == nil:
			retry = registrationRetryPause
		case ctx.Err() == nil:
			r.log.Warn("Registration not renewed.", "err", err)
			pause = spread(retry)
			retry = min(2*retry, maxRegistrationRetryPause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// renewOrRegister renews the lease of the registration, or registers the host if it has none.
func (r *registrar) renewOrRegister(ctx context.Context) error {
	began := boottime.Now()
	if id := r.lease.Load(); id != 0 {
		_, err := r.store.KeepAlive(ctx, kvstore.LeaseID(id))
		if err == nil {
			r.reportValidity(began)
		}
		if !errors.Is(err, kvstore.ErrLeaseNotFound) {
			return err
		}
		r.lease.Store(0)
		// A registration that was lost in a restore counts for the other hosts as long as it was certain.
		if !errors.Is(err, kvstore.ErrRestored) || boottime.Now().After(r.validUntil) {
			r.send(registrationLost{})
		}
	}
	if err := r.endAbandoned(ctx); err != nil {
		return err
	}
	lease, err := r.store.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	if _, err := r.store.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{kvstore.PutLeased(r.key, r.value, lease)}}); err != nil {
		r.abandoned = lease
		return err
	}
	r.lease.Store(int64(lease))
	r.reportValidity(began)
	r.log.Info("Host registered.", "lease", lease)
	return nil
}

// endAbandoned ends the lease of a registration whose outcome is not known, so that it cannot be written any more.
func (r *registrar) endAbandoned(ctx context.Context) error {
	if r.abandoned == 0 {
		return nil
	}
	if err := r.store.Revoke(ctx, r.abandoned); err != nil && !errors.Is(err, kvstore.ErrLeaseNotFound) {
		return err
	}
	r.abandoned = 0
	return nil
}

// reportValidity reports to the control state until when the registration is certain. The lease counts from
// began, before the call that granted or renewed it, because the service may have done so at any time during
// the call.
func (r *registrar) reportValidity(began time.Time) {
	r.validUntil = began.Add(registrationTTL - registrationMargin)
	r.send(registrationConfirmed{until: r.validUntil})
}

// deregister revokes the lease of the registration.
func (r *registrar) deregister(ctx context.Context) {
	id := r.lease.Load()
	if id == 0 {
		return
	}
	if err := r.store.Revoke(ctx, kvstore.LeaseID(id)); err != nil {
		r.log.Warn("Registration not revoked.", "err", err)
	}
}
