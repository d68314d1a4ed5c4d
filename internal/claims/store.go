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

// Timing of the store.
const (
	// Window is how long a claim is kept at least.
	Window = 24 * time.Hour
	// bucket is the period whose claims share one lease.
	bucket = time.Hour
	// batchDelay and batchSize bound a batch of claims in one transaction. The size keeps the
	// transaction below the limit of 128 operations of an etcd server.
	batchDelay = 2 * time.Millisecond
	batchSize  = 64
	// batchTimeout bounds the claiming of a batch, including the read-back of lost answers.
	batchTimeout = 2 * time.Second
	// retryDelay is the first delay between two calls after a failure; it doubles up to maxRetryDelay.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// cleanupRounds bounds the attempts to remove a claim that was never run.
	cleanupRounds = 12
)

// Liveness says whether a process is known to live.
type Liveness uint8

// The values of Liveness.
const (
	LivenessUnknown Liveness = iota
	Alive
	Gone
)

// Outcome is the result of claiming.
type Outcome uint8

// The outcomes of Claim.
const (
	// Unavailable means that the request was not claimed and must not be run.
	Unavailable Outcome = iota
	// Granted means that this caller, and no other, may run the request.
	Granted
	// Replay means that the request has completed; Result.Answer holds its answer.
	Replay
	// InProgress means that another caller may be running the request.
	InProgress
	// OutcomeUnknown means that the process that ran the request is gone.
	OutcomeUnknown
	// Mismatch means that the key was used for a different request.
	Mismatch
)

// ErrLost means that the claim is no longer held: it expired or was replaced.
var ErrLost = errors.New("claims: claim lost")

// ClaimRequest asks for the right to run a request.
type ClaimRequest struct {
	Workspace entity.WorkspaceID
	Key       string
	Digest    Digest
	Request   entity.RequestID
}

// Result is the typed result of Claim.
type Result struct {
	Outcome Outcome
	// Claim is set for Granted.
	Claim *Claim
	// Answer is set for Replay.
	Answer *StoredAnswer
}

// Claim is a granted claim. It is ended by Complete or Release.
type Claim struct {
	path     string
	record   Record
	revision int64
	lease    kvstore.LeaseID
	// doubtful is set when a write of the claim had an unknown outcome and may still arrive.
	doubtful bool
}

// Options configures a Store.
type Options struct {
	KV          kvstore.KV
	Host        entity.HostID
	Incarnation entity.Incarnation
	// Alive says whether a claimant lives. It must answer Gone only when that is proven.
	Alive func(entity.HostID, entity.Incarnation) Liveness
	// Now is time.Now when nil; it selects the lease bucket.
	Now func() time.Time
}

// Store claims requests over the key-value service. Its methods are safe for concurrent use.
type Store struct {
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	batch  []*pending
	// active maps paths to claims under way, so that no batch contains a path twice.
	active map[string]Digest
	// unrun holds attempts of this process that were never run but may be stored.
	unrun map[string]bool

	leaseMu   sync.Mutex
	lease     kvstore.LeaseID
	leaseHour int64
}

// pending is one claim on its way to the store.
type pending struct {
	claim Claim
	// over is the revision of an unrun claim of this process that is replaced; zero for create.
	over   int64
	result Result
	done   chan struct{}
	// abandoned is set under Store.mu when the caller has stopped waiting.
	abandoned bool
}

// New returns a Store. Close must be called to end its background work.
func New(opt Options) *Store {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Store{opt: opt, ctx: ctx, cancel: cancel, active: map[string]Digest{}, unrun: map[string]bool{}}
}

// Close ends background work and waits for it. Later claims are Unavailable.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.work.Wait()
}

// Claim claims a request. It returns Unavailable when ctx ends first; the request was then not
// claimed for any caller, and must not be run.
func (s *Store) Claim(ctx context.Context, r ClaimRequest) Result {
	p := &pending{done: make(chan struct{}), claim: Claim{
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

// enqueue adds a claim to the batch, unless the same key is being claimed here.
func (s *Store) enqueue(p *pending) (Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Result{Outcome: Unavailable}, true
	}
	if digest, busy := s.active[p.claim.path]; busy {
		if digest != p.claim.record.Digest {
			return Result{Outcome: Mismatch}, true
		}
		return Result{Outcome: InProgress}, true
	}
	s.active[p.claim.path] = p.claim.record.Digest
	s.batch = append(s.batch, p)
	switch len(s.batch) {
	case batchSize:
		s.startBatch()
	case 1:
		s.work.Add(1)
		time.AfterFunc(batchDelay, func() {
			defer s.work.Done()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.startBatch()
		})
	}
	return Result{}, false
}

// startBatch sends the waiting claims; the caller holds s.mu. A timer of a batch that was sent
// early may send the next one before its delay is over, which is harmless.
func (s *Store) startBatch() {
	batch := s.batch
	s.batch = nil
	if len(batch) == 0 {
		return
	}
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		s.run(batch)
	}()
}

// run claims a batch. A lost answer is resolved by the same transaction again: its compare fails
// when the first one took effect, and the claim that it reads shows the attempt ID.
func (s *Store) run(batch []*pending) {
	ctx, cancel := context.WithTimeout(s.ctx, batchTimeout)
	defer cancel()
	delay := retryDelay
	for len(batch) > 0 {
		lease, err := s.hourLease(ctx)
		var result kvstore.TxnResult
		if err == nil {
			result, err = s.opt.KV.Txn(ctx, claimTxn(batch, lease))
			markDoubtful(batch, err)
		}
		if err == nil {
			batch = s.resolve(batch, result, lease)
			continue
		}
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			s.forgetLease(lease)
		}
		if errors.Is(err, kvstore.ErrUnavailable) {
			batch = s.finishCertain(batch)
		}
		if !sleep(ctx, delay) {
			break
		}
		delay = min(2*delay, maxRetryDelay)
	}
	for _, p := range batch {
		s.finish(p, Result{Outcome: Unavailable})
	}
}

// markDoubtful notes that the writes may have taken effect, or may yet do so.
func markDoubtful(batch []*pending, err error) {
	if err == nil || errors.Is(err, kvstore.ErrUnavailable) || errors.Is(err, kvstore.ErrLeaseNotFound) {
		return
	}
	for _, p := range batch {
		p.claim.doubtful = true
	}
}

// finishCertain ends the claims that were certainly not written and returns the others.
func (s *Store) finishCertain(batch []*pending) []*pending {
	var rest []*pending
	for _, p := range batch {
		if p.claim.doubtful {
			rest = append(rest, p)
			continue
		}
		s.finish(p, Result{Outcome: Unavailable})
	}
	return rest
}

func claimTxn(batch []*pending, lease kvstore.LeaseID) kvstore.Txn {
	var t kvstore.Txn
	for _, p := range batch {
		path := p.claim.path
		t.Compares = append(t.Compares, kvstore.Unchanged(path, p.over))
		t.Success = append(t.Success, kvstore.PutLeased(path, p.claim.record.encode(), lease))
		t.Failure = append(t.Failure, kvstore.Op{Kind: kvstore.OpGet, Key: path})
	}
	return t
}

// resolve ends the claims that a transaction has decided and returns those to try again, which
// are the ones whose own compare did not fail.
func (s *Store) resolve(batch []*pending, result kvstore.TxnResult, lease kvstore.LeaseID) []*pending {
	if result.Succeeded {
		for _, p := range batch {
			p.claim.revision, p.claim.lease = result.Revision, lease
			s.finish(p, Result{Outcome: Granted, Claim: &p.claim})
		}
		return nil
	}
	var rest []*pending
	for i, p := range batch {
		pair := result.Gets[i]
		if pair == nil {
			p.over = 0
			rest = append(rest, p)
			continue
		}
		if r, decided := s.judge(p, pair); decided {
			s.finish(p, r)
			continue
		}
		p.over = pair.ModRevision
		rest = append(rest, p)
	}
	return rest
}

// judge decides a claim by the stored one. It is undecided when the stored claim is one of this
// process that was never run and can be replaced.
func (s *Store) judge(p *pending, pair *kvstore.Pair) (Result, bool) {
	stored, err := parseRecord(pair.Value)
	if err != nil {
		return Result{Outcome: OutcomeUnknown}, true
	}
	if stored.Attempt == p.claim.record.Attempt {
		p.claim.revision, p.claim.lease = pair.ModRevision, pair.Lease
		return Result{Outcome: Granted, Claim: &p.claim}, true
	}
	if s.isUnrun(stored.Attempt) {
		return Result{}, false
	}
	switch {
	case stored.Digest != p.claim.record.Digest:
		return Result{Outcome: Mismatch}, true
	case stored.Answer != nil:
		return Result{Outcome: Replay, Answer: stored.Answer}, true
	case stored.Incarnation == s.opt.Incarnation:
		return Result{Outcome: InProgress}, true
	case s.opt.Alive(stored.Host, stored.Incarnation) == Gone:
		return Result{Outcome: OutcomeUnknown}, true
	}
	return Result{Outcome: InProgress}, true
}

// finish gives a claim its result. A claim that its caller does not run, but that is or may be
// stored, is remembered as not run and removed in the background.
func (s *Store) finish(p *pending, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, p.claim.path)
	p.result = r
	close(p.done)
	granted := r.Outcome == Granted
	if granted && p.abandoned || !granted && p.claim.doubtful {
		s.cleanup(p.claim)
	}
}

func (s *Store) isUnrun(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unrun[attempt]
}

// cleanup remembers an attempt as not run and removes it from the store; the caller holds s.mu.
// It reads several times, because a write may arrive late, also after a repetition of it was removed.
func (s *Store) cleanup(c Claim) {
	s.unrun[c.record.Attempt] = true
	if s.closed {
		return
	}
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		delay := retryDelay
		for range cleanupRounds {
			removed := s.remove(s.ctx, c.path, c.record.Attempt)
			if removed && !c.doubtful || !sleep(s.ctx, delay) {
				return
			}
			delay = min(2*delay, maxRetryDelay)
		}
	}()
}

// remove deletes the claim of an attempt and says whether it has seen and deleted it.
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

// Complete stores the answer of a claimed request. It retries until ctx ends. After an error
// the claim stays: later callers get InProgress, or OutcomeUnknown once this process is gone.
func (s *Store) Complete(ctx context.Context, c *Claim, answer StoredAnswer) error {
	bounded := answer.bounded()
	record := c.record
	record.Answer = &bounded
	return s.replace(ctx, c, kvstore.PutLeased(c.path, record.encode(), c.lease), func(pair *kvstore.Pair) bool {
		if pair == nil {
			return false
		}
		stored, err := parseRecord(pair.Value)
		return err == nil && stored.Attempt == c.record.Attempt && stored.Answer != nil
	})
}

// Release gives up a claim whose request was proven not to have run. When the service cannot be
// reached before ctx ends, the claim is removed in the background.
func (s *Store) Release(ctx context.Context, c *Claim) error {
	err := s.replace(ctx, c, kvstore.Op{Kind: kvstore.OpDelete, Key: c.path}, func(pair *kvstore.Pair) bool {
		return pair == nil
	})
	if err != nil || c.doubtful {
		// A delayed first write could create the claim again after it was deleted.
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cleanup(*c)
	}
	return err
}

// replace runs one operation on the held claim until its outcome is known; applied tells from the
// stored pair whether an earlier try took effect.
func (s *Store) replace(ctx context.Context, c *Claim, op kvstore.Op, applied func(*kvstore.Pair) bool) error {
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

// hourLease returns the lease of the current hour, which ends at least Window after its last claim.
func (s *Store) hourLease(ctx context.Context) (kvstore.LeaseID, error) {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	hour := s.opt.Now().Unix() / int64(bucket/time.Second)
	if s.lease != 0 && s.leaseHour == hour {
		return s.lease, nil
	}
	id, err := s.opt.KV.Grant(ctx, Window+bucket)
	if errors.Is(err, kvstore.ErrUnknown) {
		// A lease without keys expires by itself, so the claim was certainly not written.
		err = fmt.Errorf("%w: lease not granted: %v", kvstore.ErrUnavailable, err)
	}
	if err != nil {
		return 0, err
	}
	s.lease, s.leaseHour = id, hour
	return id, nil
}

func (s *Store) forgetLease(id kvstore.LeaseID) {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	if s.lease == id {
		s.lease = 0
	}
}

// sleep waits and says whether ctx still runs.
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
