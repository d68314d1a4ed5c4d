package config

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

func historyKey(revision int64) string { return fmt.Sprintf("%s%016d", HistoryPrefix, revision) }

func auditKey(number int64) string { return fmt.Sprintf("%s%016d", AuditPrefix, number) }

// Head returns the head of the active configuration. Its Revision is zero before the first apply.
func (s *Store) Head(ctx context.Context) (Head, error) {
	var h Head
	modRevision, err := s.read(ctx, HeadKey, &h)
	if err != nil {
		return Head{}, err
	}
	h.ModRevision = modRevision
	return h, nil
}

// ParseHead decodes the head record from a key-value pair that a host has read.
func ParseHead(p kvstore.Pair) (Head, error) {
	var h Head
	if err := json.Unmarshal(p.Value, &h); err != nil {
		return Head{}, fmt.Errorf("config: head record is damaged: %w", err)
	}
	h.ModRevision = p.ModRevision
	return h, nil
}

// HeadAt returns the head record of a configuration revision, or ErrNotFound.
func (s *Store) HeadAt(ctx context.Context, revision int64) (Head, error) {
	var h Head
	modRevision, err := s.read(ctx, historyKey(revision), &h)
	h.ModRevision = modRevision
	if err == nil && modRevision == 0 {
		err = fmt.Errorf("%w: revision %d", ErrNotFound, revision)
	}
	return h, err
}

// Document returns the document with the digest, or ErrNotFound.
func (s *Store) Document(ctx context.Context, digest string) ([]byte, error) {
	pair, err := s.get(ctx, DocumentsPrefix+digest)
	if err != nil {
		return nil, err
	}
	if pair == nil {
		return nil, fmt.Errorf("%w: document %s", ErrNotFound, digest)
	}
	if Digest(pair.Value) != digest {
		return nil, fmt.Errorf("config: document %s is damaged", digest)
	}
	return pair.Value, nil
}

// Documents returns the documents that a head names, as a map from digest to document.
func (s *Store) Documents(ctx context.Context, h Head) (map[string][]byte, error) {
	out := map[string][]byte{}
	if h.Revision == 0 {
		return out, nil
	}
	digests := append(slices.Collect(maps.Values(h.Overlays)), h.Base)
	for _, digest := range digests {
		if out[digest] != nil {
			continue
		}
		data, err := s.Document(ctx, digest)
		if err != nil {
			return nil, err
		}
		out[digest] = data
	}
	return out, nil
}

// DocumentsAt returns the head and the documents of a configuration revision.
func (s *Store) DocumentsAt(ctx context.Context, revision int64) (Head, map[string][]byte, error) {
	h, err := s.HeadAt(ctx, revision)
	if err != nil {
		return Head{}, nil, err
	}
	docs, err := s.Documents(ctx, h)
	return h, docs, err
}

// History returns up to limit head records, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Head, error) {
	h, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	return readNewest[Head](ctx, s.kv, h.Revision, limit, historyKey)
}

// Audit returns up to limit audit entries, newest first.
func (s *Store) Audit(ctx context.Context, limit int) ([]AuditEntry, error) {
	number, _, err := s.auditCounter(ctx)
	if err != nil {
		return nil, err
	}
	return readNewest[AuditEntry](ctx, s.kv, number, limit, auditKey)
}

// readNewest returns up to limit numbered records in descending order, starting with number last. It reads up to
// maxGetsPerTxn records per transaction.
func readNewest[T any](ctx context.Context, kv kvstore.KV, last int64, limit int, key func(int64) string) ([]T, error) {
	out := []T{}
	first := max(1, last-int64(limit)+1)
	for last >= first {
		var ops []kvstore.Op
		for ; last >= first && len(ops) < maxGetsPerTxn; last-- {
			ops = append(ops, kvstore.Op{Kind: kvstore.OpGet, Key: key(last)})
		}
		result, err := kv.Txn(ctx, kvstore.Txn{Success: ops})
		if err != nil {
			return nil, asReadError(err)
		}
		for i, pair := range result.Gets {
			var record T
			if pair == nil {
				return nil, fmt.Errorf("%w: record %s", ErrNotFound, ops[i].Key)
			}
			if err := json.Unmarshal(pair.Value, &record); err != nil {
				return nil, fmt.Errorf("config: key %s is damaged: %w", pair.Key, err)
			}
			out = append(out, record)
		}
	}
	return out, nil
}
