package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Durations and limits of the store.
const (
	// MinRetention is the shortest time for which a claim is kept.
	MinRetention = 24 * time.Hour
	// leasePeriod is the period in which all claims of a process use the same lease.
	leasePeriod = time.Hour
	// The claims of a batch are written in one transaction. batchDelay bounds how long a claim waits for further
	// claims, and batchSize the number of claims. batchSize keeps the transaction below the limit of an etcd
	// server, 128 operations.
	batchDelay = 2 * time.Millisecond
	batchSize  = 64
	// batchTimeout bounds the time for claiming a batch, including retries after lost answers.
	batchTimeout = 2 * time.Second
	// retryDelay is the delay before the first retry of a failed call. It doubles up to maxRetryDelay.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// cleanupRounds bounds the attempts to remove the claim of a request that did not run.
	cleanupRounds = 12
)

// Liveness is what is known about whether a process is running.
type Liveness uint8

// The values of Liveness.
const (
	// LivenessUnknown means that it is not known whether the process is running.
	LivenessUnknown Liveness = iota
	// Alive means that the process is known to be running.
	Alive
	// Terminated means that the process is proven to have ended.
	Terminated
)

// Outcome is the outcome of a call of Claim.
type Outcome uint8

// The outcomes of Claim.
const (
	// Unavailable means that the request was not claimed for this caller and must not run.
	Unavailable Outcome = iota
	// Granted means that this caller, and no other, may run the request.
	Granted
	// Replay means that the request has completed; Result.Answer holds its answer.
	Replay
	// InProgress means that another caller may be running the request.
	InProgress
	// OutcomeUnknown means that the request may have run, but its answer will never be stored: the process
	// that claimed it has ended, or the stored claim cannot be read.
	OutcomeUnknown
	// Mismatch means that the key was used for a different request.
	Mismatch
)

// ErrLost means that the claim is no longer in the store: it expired or was replaced.
var ErrLost = errors.New("claims: claim lost")

// ClaimRequest identifies the request that a caller of Claim wants to run.
type ClaimRequest struct {
	Workspace entity.WorkspaceID
	Key       string
	Digest    Digest
	Request   entity.RequestID
}

// Result is the result of Claim.
type Result struct {
	Outcome Outcome
	// Claim is set for Granted.
	Claim *Claim
	// Answer is set for Replay.
	Answer *StoredAnswer
}

// Claim is a claim in the store. Complete or Release must be called for a granted claim.
type Claim struct {
	path   string
	record Record
	// revision is the ModRevision of the stored claim, and lease the lease that it is bound to.
	revision int64
	lease    kvstore.LeaseID
	// mayBeStored is set after a write of the claim with an unknown outcome: it may have taken effect, or may
	// still do so.
	mayBeStored bool
}

// Options configures a Store.
type Options struct {
	KV          kvstore.KV
	Host        entity.HostID
	Incarnation entity.Incarnation
	// ProcessLiveness returns what is known about the process that made a claim. It must return Terminated only
	// if it is proven that the process has ended.
	ProcessLiveness func(entity.HostID, entity.Incarnation) Liveness
	// Now returns the time that selects the lease. Default time.Now.
	Now func() time.Time
}

// Store keeps claims in the key-value service. Its methods are safe for concurrent use.
type Store struct {
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	// background counts the goroutines and timers of the store.
	background sync.WaitGroup

	mu     sync.Mutex
	closed bool
	// batch holds the claims that wait for the next transaction.
	batch []*pendingClaim
	// inFlight maps the paths of claims without a result to the digests of their requests. It makes sure that no
	// batch contains a path twice.
	inFlight map[string]Digest
	// notRunAttempts holds the attempt IDs (Record.Attempt) of claims of this process whose requests did not run,
	// although the claims are or may be stored.
	notRunAttempts map[string]bool

	// leaseMu guards the fields below.
	leaseMu sync.Mutex
	// lease is the lease of the claims made in leaseHour, counted in leasePeriods since 1970; zero if there is none.
	lease     kvstore.LeaseID
	leaseHour int64
}

// pendingClaim is a claim that has no result yet.
type pendingClaim struct {
	claim Claim
	// replacedRevision is the ModRevision of the stored claim that this one replaces: a claim of this process
	// whose request did not run. Zero means that the key must be absent.
	replacedRevision int64
	// result is valid once done is closed.
	result Result
	done   chan struct{}
	// abandoned is set when the caller has stopped waiting. It is guarded by Store.mu.
	abandoned bool
}

// New returns a Store. Close must be called to stop its background goroutines.
func New(opt Options) *Store {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Store{opt: opt, ctx: ctx, cancel: cancel, inFlight: map[string]Digest{}, notRunAttempts: map[string]bool{}}
}

// Close stops the background goroutines and waits for them to end. Later calls of Claim return Unavailable.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.background.Wait()
}

// Claim makes the claim of a request. It returns Unavailable when ctx ends before the claim has a result. The request
// must then not run, and the claim is removed if it is written nevertheless.
func (s *Store) Claim(ctx context.Context, r ClaimRequest) Result {
	p := &pendingClaim{done: make(chan struct{}), claim: Claim{
		path: Path(r.Workspace, r.Key),
		record: Record{
			Attempt: entity.RandomHex(12), Digest: r.Digest, Request: r.Request,
			Host: s.opt.Host, Incarnation: s.opt.Incarnation,
		},
	}}
	if result, rejected := s.enqueue(p); rejected {
		return result
	}
	select {
	case <-p.done:
		return p.result
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-p.done:
		return p.result
	default:
	}
	p.abandoned = true
	return Result{Outcome: Unavailable}
}

// enqueue adds a claim to the batch. It returns a result and true, without adding the claim, when the store
// is closed or the same key is already being claimed by this process.
func (s *Store) enqueue(p *pendingClaim) (Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Result{Outcome: Unavailable}, true
	}
	if digest, busy := s.inFlight[p.claim.path]; busy {
		if digest != p.claim.record.Digest {
			return Result{Outcome: Mismatch}, true
		}
		return Result{Outcome: InProgress}, true
	}
	s.inFlight[p.claim.path] = p.claim.record.Digest
	s.batch = append(s.batch, p)
	switch len(s.batch) {
	case batchSize:
		s.startBatch()
	case 1:
		s.background.Add(1)
		time.AfterFunc(batchDelay, func() {
			defer s.background.Done()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.startBatch()
		})
	}
	return Result{}, false
}

// startBatch starts writing the batch of waiting claims. The caller must hold s.mu. If a batch is full and starts before
// its timer fires, the timer later starts the next batch, possibly before that batch's own batchDelay has passed. This
// is harmless.
func (s *Store) startBatch() {
	batch := s.batch
	s.batch = nil
	if len(batch) == 0 {
		return
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		s.claimBatch(batch)
	}()
}

// claimBatch writes the claims of a batch and sets their results. After a lost answer it runs the same transaction
// again: if the first one took effect, the compares fail, and the attempt IDs in the stored claims show that they are
// the claims of this batch.
func (s *Store) claimBatch(batch []*pendingClaim) {
	ctx, cancel := context.WithTimeout(s.ctx, batchTimeout)
	defer cancel()
	delay := retryDelay
	for len(batch) > 0 {
		lease, err := s.hourLease(ctx)
		var result kvstore.TxnResult
		if err == nil {
			result, err = s.opt.KV.Txn(ctx, claimTxn(batch, lease))
			markMayBeStored(batch, err)
		}
		if err == nil {
			batch = s.resolve(batch, result, lease)
			continue
		}
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			s.discardLease(lease)
		}
		if errors.Is(err, kvstore.ErrUnavailable) {
			batch = s.finishNotStored(batch)
		}
		if !sleep(ctx, delay) {
			break
		}
		delay = min(2*delay, maxRetryDelay)
	}
	for _, p := range batch {
		s.setResult(p, Result{Outcome: Unavailable})
	}
}

// markMayBeStored sets mayBeStored of the claims of a batch if err, the result of their transaction, leaves its outcome
// unknown.
func markMayBeStored(batch []*pendingClaim, err error) {
	if err == nil || errors.Is(err, kvstore.ErrUnavailable) || errors.Is(err, kvstore.ErrLeaseNotFound) {
		return
	}
	for _, p := range batch {
		p.claim.mayBeStored = true
	}
}

// finishNotStored sets the result Unavailable for the claims that were certainly not written and returns the
// others.
func (s *Store) finishNotStored(batch []*pendingClaim) []*pendingClaim {
	var rest []*pendingClaim
	for _, p := range batch {
		if p.claim.mayBeStored {
			rest = append(rest, p)
			continue
		}
		s.setResult(p, Result{Outcome: Unavailable})
	}
	return rest
}

// claimTxn returns the transaction that writes all claims of a batch, or reads the stored ones if any compare
// fails.
func claimTxn(batch []*pendingClaim, lease kvstore.LeaseID) kvstore.Txn {
	var t kvstore.Txn
	for _, p := range batch {
		path := p.claim.path
		t.Compares = append(t.Compares, kvstore.Unchanged(path, p.replacedRevision))
		t.Success = append(t.Success, kvstore.PutLeased(path, p.claim.record.encode(), lease))
		t.Failure = append(t.Failure, kvstore.Op{Kind: kvstore.OpGet, Key: path})
	}
	return t
}

// resolve sets the results of the claims of a batch that follow from the result of its transaction. It returns the
// claims to try again: if the transaction did not succeed, those whose key is absent and those that may replace the
// stored claim.
func (s *Store) resolve(batch []*pendingClaim, result kvstore.TxnResult, lease kvstore.LeaseID) []*pendingClaim {
	if result.Succeeded {
		for _, p := range batch {
			p.claim.revision, p.claim.lease = result.Revision, lease
			s.setResult(p, Result{Outcome: Granted, Claim: &p.claim})
		}
		return nil
	}
	var rest []*pendingClaim
	for i, p := range batch {
		pair := result.Gets[i]
		if pair == nil {
			p.replacedRevision = 0
			rest = append(rest, p)
			continue
		}
		if r, decided := s.decideByStored(p, pair); decided {
			s.setResult(p, r)
			continue
		}
		p.replacedRevision = pair.ModRevision
		rest = append(rest, p)
	}
	return rest
}

// decideByStored returns the result of a claim when a claim with the same key is stored. It returns false when the
// stored claim belongs to a request of this process that did not run, and may therefore be replaced.
func (s *Store) decideByStored(p *pendingClaim, pair *kvstore.Pair) (Result, bool) {
	stored, err := parseRecord(pair.Value)
	if err != nil {
		return Result{Outcome: OutcomeUnknown}, true
	}
	if stored.Attempt == p.claim.record.Attempt {
		p.claim.revision, p.claim.lease = pair.ModRevision, pair.Lease
		return Result{Outcome: Granted, Claim: &p.claim}, true
	}
	if s.isNotRun(stored.Attempt) {
		return Result{}, false
	}
	switch {
	case stored.Digest != p.claim.record.Digest:
		return Result{Outcome: Mismatch}, true
	case stored.Answer != nil:
		return Result{Outcome: Replay, Answer: stored.Answer}, true
	case stored.Incarnation == s.opt.Incarnation:
		return Result{Outcome: InProgress}, true
	case s.opt.ProcessLiveness(stored.Host, stored.Incarnation) == Terminated:
		return Result{Outcome: OutcomeUnknown}, true
	}
	return Result{Outcome: InProgress}, true
}

// setResult sets the result of a claim. If the request will not run although the claim is or may be stored,
// setResult records the attempt as not run and removes the claim in the background.
func (s *Store) setResult(p *pendingClaim, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, p.claim.path)
	p.result = r
	close(p.done)
	granted := r.Outcome == Granted
	if granted && p.abandoned || !granted && p.claim.mayBeStored {
		s.cleanUpInBackground(p.claim)
	}
}

// isNotRun reports whether an attempt of this process is recorded as not run.
func (s *Store) isNotRun(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notRunAttempts[attempt]
}

// cleanUpInBackground records an attempt as not run and removes its claim from the store. The caller must
// hold s.mu. The removal is tried up to cleanupRounds times. If a write of the claim had an unknown outcome, the
// removal is repeated even after a success, because a delayed write can still take effect and store the claim again.
func (s *Store) cleanUpInBackground(c Claim) {
	s.notRunAttempts[c.record.Attempt] = true
	if s.closed {
		return
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		delay := retryDelay
		for range cleanupRounds {
			removed := s.remove(s.ctx, c.path, c.record.Attempt)
			if removed && !c.mayBeStored || !sleep(s.ctx, delay) {
				return
			}
			delay = min(2*delay, maxRetryDelay)
		}
	}()
}

// remove deletes the stored claim of an attempt. It reports whether it has deleted a claim; it returns false if the
// claim is not stored.
func (s *Store) remove(ctx context.Context, path, attempt string) bool {
	pair, _, err := s.opt.KV.Get(ctx, path)
	if err != nil || pair == nil {
		return false
	}
	stored, err := parseRecord(pair.Value)
	if err != nil || stored.Attempt != attempt {
		return false
	}
	result, err := s.opt.KV.Txn(ctx, kvstore.Txn{
		Compares: []kvstore.Compare{kvstore.Unchanged(path, pair.ModRevision)},
		Success:  []kvstore.Op{{Kind: kvstore.OpDelete, Key: path}},
	})
	return err == nil && result.Succeeded
}

// Complete stores the answer of a claimed request. It retries until ctx ends. After an error, the answer may not be
// stored: later calls of Claim then return InProgress, or OutcomeUnknown once it is proven that this process has ended.
func (s *Store) Complete(ctx context.Context, c *Claim, answer StoredAnswer) error {
	bounded := answer.bounded()
	record := c.record
	record.Answer = &bounded
	return s.updateStored(ctx, c, kvstore.PutLeased(c.path, record.encode(), c.lease), func(pair *kvstore.Pair) bool {
		if pair == nil {
			return false
		}
		stored, err := parseRecord(pair.Value)
		return err == nil && stored.Attempt == c.record.Attempt && stored.Answer != nil
	})
}

// Release removes the claim of a request that is proven not to have run. If this fails until ctx ends, the claim is
// removed in the background.
func (s *Store) Release(ctx context.Context, c *Claim) error {
	err := s.updateStored(ctx, c, kvstore.Op{Kind: kvstore.OpDelete, Key: c.path}, func(pair *kvstore.Pair) bool {
		return pair == nil
	})
	if err != nil || c.mayBeStored {
		// A delayed write of the claim could create it again after it was deleted.
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cleanUpInBackground(*c)
	}
	return err
}

// updateStored runs one operation on the stored claim and retries it until the outcome is known or ctx ends. It returns
// ErrLost if the stored claim or its lease no longer exists or the claim was replaced. applied reports, from the pair
// that is stored when the operation fails, whether an earlier try of the operation took effect.
func (s *Store) updateStored(ctx context.Context, c *Claim, op kvstore.Op, applied func(*kvstore.Pair) bool) error {
	delay := retryDelay
	for {
		result, err := s.opt.KV.Txn(ctx, kvstore.Txn{
			Compares: []kvstore.Compare{kvstore.Unchanged(c.path, c.revision)},
			Success:  []kvstore.Op{op},
			Failure:  []kvstore.Op{{Kind: kvstore.OpGet, Key: c.path}},
		})
		switch {
		case err == nil && (result.Succeeded || applied(result.Gets[0])):
			return nil
		case err == nil || errors.Is(err, kvstore.ErrLeaseNotFound):
			return ErrLost
		}
		if !sleep(ctx, delay) {
			return fmt.Errorf("claims: %w", err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// hourLease returns the lease of the current hour. The lease expires no earlier than MinRetention after the
// last claim of that hour.
func (s *Store) hourLease(ctx context.Context) (kvstore.LeaseID, error) {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	hour := s.opt.Now().Unix() / int64(leasePeriod/time.Second)
	if s.lease != 0 && s.leaseHour == hour {
		return s.lease, nil
	}
	id, err := s.opt.KV.Grant(ctx, MinRetention+leasePeriod)
	if errors.Is(err, kvstore.ErrUnknown) {
		// The lease may have been granted, but it has no keys: the claim was certainly not written. The lease
		// expires by itself.
		err = fmt.Errorf("%w: lease not granted: %v", kvstore.ErrUnavailable, err)
	}
	if err != nil {
		return 0, err
	}
	s.lease, s.leaseHour = id, hour
	return id, nil
}

// discardLease makes the next call of hourLease grant a new lease, unless another lease than id is already in use.
func (s *Store) discardLease(id kvstore.LeaseID) {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	if s.lease == id {
		s.lease = 0
	}
}

// sleep waits for d and returns true, or returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
