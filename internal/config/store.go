package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// MaxDocumentBytes bounds the total size of the new documents of one apply, without insignificant space, and so
	// the size of each document. The key-value service accepts values up to 1 MB.
	MaxDocumentBytes = 1_000_000
	// maxCommitAttempts bounds the attempts to commit one change when other writers use its audit number first or
	// responses are lost.
	maxCommitAttempts = 60
	// retryPause bounds the random pause after the first attempt. The bound grows by retryPause with every attempt
	// up to maxRetryPause. This spreads out the attempts of concurrent writers, which all change the audit counter.
	retryPause    = 10 * time.Millisecond
	maxRetryPause = 100 * time.Millisecond
	// maxGetsPerTxn bounds the reads in one transaction; etcd allows 128 operations by default.
	maxGetsPerTxn = 100
	// maxAuditChanges bounds the number of listed changes of one site in an audit entry.
	maxAuditChanges = 50
)

// ErrNotFound is returned for a document, revision or key that does not exist.
var ErrNotFound = errors.New("config: not found")

// ConflictError reports that an apply was refused because the active configuration is not the one that it started
// from. The refused apply changed nothing.
type ConflictError struct {
	// BaseRevision is the revision that the refused apply started from.
	BaseRevision int64 `json:"base_revision"`
	// Winner is the head of the active configuration.
	Winner Head `json:"winner"`
}

// Error names the active revision, its author and its time.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: conflict: revision %d by %s at %s is in force, the change started from revision %d",
		e.Winner.Revision, e.Winner.Who, e.Winner.When.Format(time.RFC3339), e.BaseRevision)
}

// Store applies, lists and audits configurations and caller keys. It has no state of its own and is safe for
// concurrent use by any number of processes.
//
// Errors of writes wrap kvstore.ErrUnavailable if the change certainly did not take effect, and
// kvstore.ErrUnknown if it may have taken effect.
type Store struct {
	kv  kvstore.KV
	now func() time.Time
}

// NewStore returns a Store over kv, whose keys are relative to the installation's prefix.
func NewStore(kv kvstore.KV) *Store { return &Store{kv: kv, now: time.Now} }

// ApplyRequest is a request to activate a configuration.
type ApplyRequest struct {
	// BaseRevision is the revision that the change started from; zero for the first apply.
	BaseRevision int64
	// Base is the base document; nil keeps the active one.
	Base []byte
	// Overlays maps site names to overlays. A site that is missing or has a nil overlay keeps its active overlay.
	Overlays map[string][]byte
	// Who is the name of the operator; required. Message is an optional note of the operator.
	Who     string
	Message string
	// Attempt identifies the apply. A caller that repeats an apply with an unknown outcome passes the same value.
	// If it is empty, a new value is generated.
	Attempt string
}

// Apply validates the configuration of every site and activates it in one transaction. It returns a
// *ValidationError, a *ConflictError, or an error of the key-value service.
func (s *Store) Apply(ctx context.Context, req ApplyRequest) (Head, error) {
	if req.Who == "" {
		return Head{}, errors.New("config: apply needs the name of the operator")
	}
	if req.Attempt == "" {
		req.Attempt = entity.RandomHex(16)
	}
	current, err := s.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	if current.Revision != req.BaseRevision {
		return s.resolveConflict(ctx, req, current)
	}
	next, docs, entry, err := s.prepare(ctx, req, current)
	if err != nil {
		return Head{}, err
	}
	ops, err := applyOps(next, docs)
	if err != nil {
		return Head{}, err
	}
	guard := kvstore.Unchanged(HeadKey, current.ModRevision)
	revision, err := s.commit(ctx, auditedChange{guard: guard, ops: ops, entry: entry})
	if errors.Is(err, errGuardFailed) {
		if current, err = s.Head(ctx); err != nil {
			return Head{}, err
		}
		return s.resolveConflict(ctx, req, current)
	}
	if err != nil {
		return Head{}, fmt.Errorf("config: apply attempt %s: %w", req.Attempt, err)
	}
	next.ModRevision = revision
	return next, nil
}

// resolveConflict returns the result of an apply whose base revision is not active. If an earlier call with the same
// Attempt has already taken effect, the result is the head that it wrote. Otherwise it is a ConflictError.
func (s *Store) resolveConflict(ctx context.Context, req ApplyRequest, winner Head) (Head, error) {
	conflict := &ConflictError{BaseRevision: req.BaseRevision, Winner: winner}
	if winner.Revision < req.BaseRevision {
		return Head{}, conflict
	}
	own, err := s.HeadAt(ctx, req.BaseRevision+1)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Head{}, err
	}
	if err == nil && own.Attempt == req.Attempt {
		return own, nil
	}
	return Head{}, conflict
}

// prepare validates a request and returns the next head, the documents to store by digest, and the audit entry.
// Documents that the current head names are already stored and are left out.
func (s *Store) prepare(ctx context.Context, req ApplyRequest, current Head) (Head, map[string][]byte, AuditEntry, error) {
	next := Head{
		Revision: current.Revision + 1,
		Base:     current.Base,
		Overlays: maps.Clone(current.Overlays),
		Attempt:  req.Attempt,
		Who:      req.Who,
		When:     s.now().UTC(),
		Message:  req.Message,
	}
	if next.Overlays == nil {
		next.Overlays = map[string]string{}
	}
	fail := func(err error) (Head, map[string][]byte, AuditEntry, error) {
		return Head{}, nil, AuditEntry{}, err
	}
	known, err := s.Documents(ctx, current)
	if err != nil {
		return fail(err)
	}
	added := map[string][]byte{}
	add := func(name string, data []byte) (string, error) {
		digest, compacted, err := compactDocument(name, data)
		if err == nil && known[digest] == nil {
			added[digest] = compacted
		}
		return digest, err
	}
	if req.Base != nil {
		if next.Base, err = add("base", req.Base); err != nil {
			return fail(err)
		}
	}
	if next.Base == "" {
		return fail(&ValidationError{Fields: []FieldError{{Document: "base", Reason: "is missing", Allowed: "a base document with the first apply"}}})
	}
	for site, data := range req.Overlays {
		if data == nil {
			continue
		}
		if next.Overlays[site], err = add("overlay "+site, data); err != nil {
			return fail(err)
		}
	}
	if err := checkTotalSize(added); err != nil {
		return fail(err)
	}
	all := maps.Clone(known)
	maps.Copy(all, added)
	sites, err := CompileAll(next, all)
	if err != nil {
		return fail(err)
	}
	entry := AuditEntry{
		Kind: AuditApply, Who: next.Who, When: next.When, Message: next.Message,
		Attempt: next.Attempt, Revision: next.Revision, Changes: summarize(current, known, sites),
	}
	return next, added, entry, nil
}

// compactDocument removes the insignificant space of a document and returns the digest and the bytes of the result.
func compactDocument(name string, data []byte) (string, []byte, error) {
	var out bytes.Buffer
	if err := json.Compact(&out, data); err != nil {
		fault := FieldError{Document: name, Reason: "is not valid JSON: " + err.Error(), Allowed: "one JSON object"}
		return "", nil, &ValidationError{Fields: []FieldError{fault}}
	}
	return Digest(out.Bytes()), out.Bytes(), nil
}

// CheckSize returns a *ValidationError if Apply refuses the documents because of their size. A nil base is not changed.
// stored holds the stored documents by digest, which are not written again.
func CheckSize(base []byte, overlays, stored map[string][]byte) error {
	added := map[string][]byte{}
	add := func(name string, data []byte) error {
		digest, compacted, err := compactDocument(name, data)
		if err == nil && stored[digest] == nil {
			added[digest] = compacted
		}
		return err
	}
	if base != nil {
		if err := add("base", base); err != nil {
			return err
		}
	}
	for site, data := range overlays {
		if err := add("overlay "+site, data); err != nil {
			return err
		}
	}
	return checkTotalSize(added)
}

// checkTotalSize returns an error if the documents together are larger than MaxDocumentBytes.
func checkTotalSize(added map[string][]byte) error {
	total := 0
	for _, data := range added {
		total += len(data)
	}
	if total <= MaxDocumentBytes {
		return nil
	}
	return &ValidationError{Fields: []FieldError{{
		Reason:  fmt.Sprintf("the changed documents take %d bytes together", total),
		Allowed: fmt.Sprintf("at most %d bytes in one apply", MaxDocumentBytes),
	}}}
}

// CompileAll compiles every site of a head and returns the results by site name. documents maps digests to documents.
// For a head without sites, the base document alone is compiled under the empty name. The error lists the faults of
// all sites.
func CompileAll(h Head, documents map[string][]byte) (map[string]*Site, error) {
	names := h.Sites()
	if len(names) == 0 {
		names = []string{""}
	}
	sites := map[string]*Site{}
	var all ValidationError
	seen := map[FieldError]bool{}
	for _, name := range names {
		site, err := Compile(name, h.Revision, documents[h.Base], documents[h.Overlays[name]])
		var invalid *ValidationError
		if errors.As(err, &invalid) {
			// Faults of the base document occur at every site and are listed once.
			for _, f := range invalid.Fields {
				if !seen[f] {
					all.Fields = append(all.Fields, f)
				}
				seen[f] = true
			}
			continue
		}
		sites[name] = site
	}
	if len(all.Fields) > 0 {
		return nil, &all
	}
	return sites, nil
}

// summarize returns the changes from the current configuration to the given sites, up to maxAuditChanges per site.
func summarize(current Head, documents map[string][]byte, sites map[string]*Site) map[string][]string {
	out := map[string][]string{}
	old := map[string]*Site{}
	if current.Revision > 0 {
		var err error
		if old, err = CompileAll(current, documents); err != nil {
			// A later build may have stricter rules than the build that accepted the previous configuration.
			return map[string][]string{"": {"the former configuration is not valid for this build; changes are not listed"}}
		}
	}
	for name, site := range sites {
		changes := Diff(old[name], site)
		for _, c := range changes[:min(len(changes), maxAuditChanges)] {
			out[name] = append(out[name], c.String())
		}
		if more := len(changes) - maxAuditChanges; more > 0 {
			out[name] = append(out[name], fmt.Sprintf("and %d more", more))
		}
	}
	return out
}

// applyOps returns the operations that store the next head, its history record and the new documents.
func applyOps(next Head, docs map[string][]byte) ([]kvstore.Op, error) {
	record, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	ops := []kvstore.Op{kvstore.Put(HeadKey, record), kvstore.Put(historyKey(next.Revision), record)}
	for _, digest := range slices.Sorted(maps.Keys(docs)) {
		ops = append(ops, kvstore.Put(DocumentsPrefix+digest, docs[digest]))
	}
	return ops, nil
}

// errGuardFailed means that the guard of a change does not hold: another writer has changed the key.
var errGuardFailed = errors.New("config: record has changed")

// errNumberTaken means that another writer has used the audit number first, so that the transaction had no effect.
var errNumberTaken = errors.New("config: audit number was taken")

// auditedChange is a change that is written in one transaction with its audit entry. guard is the condition for the
// change: the ModRevision of the changed key must still be the one that was read.
type auditedChange struct {
	guard kvstore.Compare
	ops   []kvstore.Op
	entry AuditEntry
}

// commit writes a change together with its audit entry and returns the store revision of the transaction. It uses the
// next audit number, and tries again if another writer uses this number first. After a lost response, it first looks
// for its audit entry under every number of an attempt that may have taken effect, because a delayed transaction can
// still take effect between two attempts.
func (s *Store) commit(ctx context.Context, c auditedChange) (int64, error) {
	var tried []int64
	var last error
	for n := range maxCommitAttempts {
		revision, err := s.attempt(ctx, &c, &tried)
		if err == nil || errors.Is(err, errGuardFailed) {
			return revision, err
		}
		if len(tried) == 0 && !errors.Is(err, errNumberTaken) {
			return 0, err
		}
		last = err
		if waitBeforeRetry(ctx, n) != nil {
			break
		}
	}
	if len(tried) > 0 {
		return 0, fmt.Errorf("%w: %v", kvstore.ErrUnknown, last)
	}
	return 0, fmt.Errorf("%w: %w", kvstore.ErrUnavailable, last)
}

// attempt tries to commit a change once, unless an earlier attempt has taken effect. It adds the audit number to tried
// if the outcome of the transaction is unknown.
func (s *Store) attempt(ctx context.Context, c *auditedChange, tried *[]int64) (int64, error) {
	done, err := s.findCommitted(ctx, c.entry.Attempt, *tried)
	if err != nil || done != 0 {
		return done, err
	}
	number, counterRev, err := s.auditCounter(ctx)
	if err != nil {
		return 0, err
	}
	c.entry.Number = number + 1
	result, err := s.writeTxn(ctx, *c, counterRev)
	if mayHaveRun(err) {
		*tried = append(*tried, c.entry.Number)
	}
	if err != nil {
		return 0, err
	}
	if result.Succeeded {
		return result.Revision, nil
	}
	if modRevision(result.Gets[0]) == c.guard.Value {
		return 0, errNumberTaken
	}
	done, err = s.findCommitted(ctx, c.entry.Attempt, *tried)
	if err != nil || done != 0 {
		return done, err
	}
	return 0, errGuardFailed
}

// mayHaveRun reports whether a call that failed with err may have taken effect. This includes calls that were
// interrupted by their context.
func mayHaveRun(err error) bool {
	if errors.Is(err, kvstore.ErrUnavailable) {
		return false
	}
	return errors.Is(err, kvstore.ErrUnknown) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// writeTxn writes a change, its audit entry and the audit counter in one transaction. The transaction has no effect if
// the guard fails, the audit counter is no longer at the revision counterRev, or the audit entry exists already. It then
// reads the guarded key.
func (s *Store) writeTxn(ctx context.Context, c auditedChange, counterRev int64) (kvstore.TxnResult, error) {
	entry, err := json.Marshal(c.entry)
	if err != nil {
		return kvstore.TxnResult{}, err
	}
	ops := append(slices.Clone(c.ops),
		kvstore.Put(auditKey(c.entry.Number), entry),
		kvstore.Put(AuditCounterKey, fmt.Appendf(nil, "%d", c.entry.Number)),
	)
	return s.kv.Txn(ctx, kvstore.Txn{
		Compares: []kvstore.Compare{c.guard, kvstore.Unchanged(AuditCounterKey, counterRev), kvstore.Absent(auditKey(c.entry.Number))},
		Success:  ops,
		Failure:  []kvstore.Op{{Kind: kvstore.OpGet, Key: c.guard.Key}},
	})
}

// findCommitted returns the store revision at which an attempt wrote its audit entry under one of the numbers, or
// zero if there is no such entry.
func (s *Store) findCommitted(ctx context.Context, attempt string, numbers []int64) (int64, error) {
	for _, n := range numbers {
		var entry AuditEntry
		rev, err := s.read(ctx, auditKey(n), &entry)
		if err != nil {
			return 0, err
		}
		if rev != 0 && entry.Attempt == attempt {
			return rev, nil
		}
	}
	return 0, nil
}

func modRevision(p *kvstore.Pair) int64 {
	if p == nil {
		return 0
	}
	return p.ModRevision
}

// waitBeforeRetry waits for a random time after attempt n, counted from zero.
func waitBeforeRetry(ctx context.Context, n int) error {
	timer := time.NewTimer(rand.N(min(maxRetryPause, time.Duration(n+1)*retryPause)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// auditCounter returns the newest audit number and the ModRevision of AuditCounterKey.
func (s *Store) auditCounter(ctx context.Context) (number, revision int64, err error) {
	revision, err = s.read(ctx, AuditCounterKey, &number)
	return number, revision, err
}

// asReadError converts the error of a read. An unknown outcome becomes ErrUnavailable, because a read has no effect.
func asReadError(err error) error {
	if mayHaveRun(err) {
		return fmt.Errorf("%w: %v", kvstore.ErrUnavailable, err)
	}
	return err
}

func (s *Store) get(ctx context.Context, key string) (*kvstore.Pair, error) {
	pair, _, err := s.kv.Get(ctx, key)
	return pair, asReadError(err)
}

// read decodes the JSON value of a key into into and returns the ModRevision of the key, or zero if the key is absent.
func (s *Store) read(ctx context.Context, key string, into any) (int64, error) {
	pair, err := s.get(ctx, key)
	if err != nil || pair == nil {
		return 0, err
	}
	if err := json.Unmarshal(pair.Value, into); err != nil {
		return 0, fmt.Errorf("config: key %s is damaged: %w", key, err)
	}
	return pair.ModRevision, nil
}
