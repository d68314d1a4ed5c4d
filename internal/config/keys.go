package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// callerKeyPrefix marks caller keys, so that leaked keys can be recognized.
	callerKeyPrefix = "fxp_"
	// callerKeyBytes is the size of the random part of a caller key.
	callerKeyBytes = 20
	keyIDPrefix    = "k-"
	// keyIDDigits is the number of hexadecimal digits of the digest in a key ID. These 64 bits are sufficient to
	// find the key record by a read of the keys with this prefix, and they reveal nothing useful about the key.
	keyIDDigits = 16
)

// ErrAlreadyWithdrawn is returned by WithdrawKey, together with the record, for a key that was withdrawn before.
var ErrAlreadyWithdrawn = errors.New("config: key is already withdrawn")

// IssueKey creates a caller key for a workspace and returns it in plain text with its record. The plain text is never
// stored. After an error that wraps kvstore.ErrUnknown, the key may exist; the returned record contains the ID for
// withdrawing it.
func (s *Store) IssueKey(ctx context.Context, workspace entity.WorkspaceID, who string) (string, KeyRecord, error) {
	if who == "" || !namePattern.MatchString(string(workspace)) {
		return "", KeyRecord{}, fmt.Errorf("config: issuing a key needs an operator and a workspace name of %s", nameAllowed)
	}
	plain := callerKeyPrefix + entity.RandomHex(callerKeyBytes)
	digest := Digest([]byte(plain))
	record := KeyRecord{
		ID:        entity.KeyID(keyIDPrefix + digest[:keyIDDigits]),
		Workspace: workspace,
		Issued:    s.now().UTC(),
		Attempt:   entity.RandomHex(16),
	}
	entry := AuditEntry{
		Kind: AuditIssueKey, Who: who, When: record.Issued,
		Attempt: record.Attempt, Key: record.ID, Workspace: workspace,
	}
	key := KeysPrefix + digest
	if _, err := s.commitRecord(ctx, kvstore.Unchanged(key, 0), key, record, entry); err != nil {
		return "", record, fmt.Errorf("config: issuing key %s: %w", record.ID, err)
	}
	return plain, record, nil
}

// commitRecord commits a change that stores one record in JSON under key. It returns errGuardFailed if guard does not
// hold.
func (s *Store) commitRecord(ctx context.Context, guard kvstore.Compare, key string, record any, entry AuditEntry) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return s.commit(ctx, auditedChange{guard: guard, ops: []kvstore.Op{kvstore.Put(key, value)}, entry: entry})
}

// WithdrawKey permanently withdraws a key. It returns ErrAlreadyWithdrawn for a key that is already withdrawn,
// and ErrNotFound for an unknown ID.
func (s *Store) WithdrawKey(ctx context.Context, id entity.KeyID, who string) (KeyRecord, error) {
	digits, ok := strings.CutPrefix(string(id), keyIDPrefix)
	if _, err := hex.DecodeString(digits); !ok || err != nil || len(digits) != keyIDDigits {
		return KeyRecord{}, fmt.Errorf("%w: key %q, an ID is %s and %d hexadecimal digits", ErrNotFound, id, keyIDPrefix, keyIDDigits)
	}
	if who == "" {
		return KeyRecord{}, errors.New("config: withdrawing a key needs the name of the operator")
	}
	for {
		pair, record, err := s.findKey(ctx, id, digits)
		if err != nil {
			return KeyRecord{}, err
		}
		if !record.Withdrawn.IsZero() {
			return record, fmt.Errorf("%w: %s", ErrAlreadyWithdrawn, id)
		}
		record.Withdrawn = s.now().UTC()
		record.Attempt = entity.RandomHex(16)
		entry := AuditEntry{
			Kind: AuditWithdrawKey, Who: who, When: record.Withdrawn,
			Attempt: record.Attempt, Key: id, Workspace: record.Workspace,
		}
		_, err = s.commitRecord(ctx, kvstore.Unchanged(pair.Key, pair.ModRevision), pair.Key, record, entry)
		if errors.Is(err, errGuardFailed) {
			continue
		}
		if err != nil {
			return KeyRecord{}, fmt.Errorf("config: withdrawing key %s: %w", id, err)
		}
		return record, nil
	}
}

// findKey returns the stored pair and the record of the key with the ID. digits are the digest digits in the ID.
func (s *Store) findKey(ctx context.Context, id entity.KeyID, digits string) (kvstore.Pair, KeyRecord, error) {
	result, err := s.kv.Range(ctx, kvstore.RangeRequest{Prefix: KeysPrefix + digits})
	if err != nil {
		return kvstore.Pair{}, KeyRecord{}, asReadError(err)
	}
	if len(result.Pairs) != 1 {
		return kvstore.Pair{}, KeyRecord{}, fmt.Errorf("%w: key %s", ErrNotFound, id)
	}
	var record KeyRecord
	if err := json.Unmarshal(result.Pairs[0].Value, &record); err != nil {
		return kvstore.Pair{}, KeyRecord{}, fmt.Errorf("config: record of key %s is damaged: %w", id, err)
	}
	return result.Pairs[0], record, nil
}

// ListKeys returns the records of all keys, including withdrawn keys, ordered by digest.
func (s *Store) ListKeys(ctx context.Context) ([]KeyRecord, error) {
	result, err := s.kv.Range(ctx, kvstore.RangeRequest{Prefix: KeysPrefix})
	if err != nil {
		return nil, asReadError(err)
	}
	records := make([]KeyRecord, len(result.Pairs))
	for i, pair := range result.Pairs {
		if err := json.Unmarshal(pair.Value, &records[i]); err != nil {
			return nil, fmt.Errorf("config: key %s is damaged: %w", pair.Key, err)
		}
	}
	return records, nil
}

// ConfirmHostTerminated records an operator's confirmation that the process of a host no longer exists. Other hosts may
// then free the placement entries of that process. A repeated confirmation returns the first record.
func (s *Store) ConfirmHostTerminated(ctx context.Context, host entity.HostID, incarnation entity.Incarnation, who string) (TerminatedHostRecord, error) {
	if who == "" || !namePattern.MatchString(string(host)) || !namePattern.MatchString(string(incarnation)) {
		return TerminatedHostRecord{}, fmt.Errorf("config: confirming a terminated host needs an operator, and a host and incarnation of %s", nameAllowed)
	}
	key := TerminatedHostsPrefix + string(host) + "/" + string(incarnation)
	record := TerminatedHostRecord{Host: host, Incarnation: incarnation, Who: who, When: s.now().UTC(), Attempt: entity.RandomHex(16)}
	entry := AuditEntry{
		Kind: AuditHostTerminated, Who: who, When: record.When,
		Attempt: record.Attempt, Host: host, Incarnation: incarnation,
	}
	_, err := s.commitRecord(ctx, kvstore.Unchanged(key, 0), key, record, entry)
	if errors.Is(err, errGuardFailed) {
		_, err = s.read(ctx, key, &record)
	}
	if err != nil {
		return TerminatedHostRecord{}, fmt.Errorf("config: confirming that host %s is terminated: %w", host, err)
	}
	return record, nil
}

// keyShards is the number of shards of a KeyTable. An update of the table copies only the shards that it changes.
const keyShards = 256

// KeyDigest is the SHA-256 digest of a caller key.
type KeyDigest = [sha256.Size]byte

// KeyTable maps digests of caller keys to key records. It is immutable and safe for concurrent use. A nil table
// is empty.
type KeyTable struct {
	shards [keyShards]map[KeyDigest]KeyRecord
	size   int
}

// NewKeyTable builds a table from the pairs under KeysPrefix. The error lists the damaged pairs. Even with an error the
// returned table is usable. It does not contain the damaged pairs, so that a damaged record admits no caller.
func NewKeyTable(pairs []kvstore.Pair) (*KeyTable, error) {
	return (*KeyTable)(nil).Update(pairs)
}

// Update returns a copy of the table with the changed pairs applied. A pair with an empty or damaged value removes the
// key from the copy. The error lists the damaged pairs; the copy is usable even then.
func (t *KeyTable) Update(changed []kvstore.Pair) (*KeyTable, error) {
	next := &KeyTable{}
	if t != nil {
		*next = *t
	}
	var copied [keyShards]bool
	var faults []error
	for _, pair := range changed {
		digest, err := parseDigest(pair.Key)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		shard := digest[0]
		if !copied[shard] {
			next.shards[shard] = cloneShard(next.shards[shard])
			copied[shard] = true
		}
		if err := setRecord(next.shards[shard], digest, pair); err != nil {
			faults = append(faults, err)
		}
	}
	next.size = 0
	for _, shard := range next.shards {
		next.size += len(shard)
	}
	return next, errors.Join(faults...)
}

// parseDigest returns the digest in the key of a pair under KeysPrefix.
func parseDigest(key string) (KeyDigest, error) {
	var digest KeyDigest
	text, ok := strings.CutPrefix(key, KeysPrefix)
	if !ok || len(text) != hex.EncodedLen(len(digest)) {
		return digest, fmt.Errorf("config: %q is not the key of a key record", key)
	}
	if _, err := hex.Decode(digest[:], []byte(text)); err != nil {
		return digest, fmt.Errorf("config: %q is not the key of a key record: %w", key, err)
	}
	return digest, nil
}

func cloneShard(m map[KeyDigest]KeyRecord) map[KeyDigest]KeyRecord {
	out := make(map[KeyDigest]KeyRecord, len(m)+1)
	for digest, record := range m {
		out[digest] = record
	}
	return out
}

// setRecord replaces the record of a digest in a shard by that of the pair, or removes it if the pair has no valid
// record.
func setRecord(shard map[KeyDigest]KeyRecord, digest KeyDigest, pair kvstore.Pair) error {
	delete(shard, digest)
	if len(pair.Value) == 0 {
		return nil
	}
	var record KeyRecord
	if err := json.Unmarshal(pair.Value, &record); err != nil {
		return fmt.Errorf("config: record %q is damaged: %w", pair.Key, err)
	}
	shard[digest] = record
	return nil
}

// Lookup returns the record of a caller key, including a withdrawn key.
func (t *KeyTable) Lookup(plain []byte) (KeyRecord, bool) {
	return t.LookupDigest(sha256.Sum256(plain))
}

// LookupDigest returns the record of the caller key with a digest, including a withdrawn key.
func (t *KeyTable) LookupDigest(digest KeyDigest) (KeyRecord, bool) {
	if t == nil {
		return KeyRecord{}, false
	}
	record, ok := t.shards[digest[0]][digest]
	return record, ok
}

// Len returns the number of keys, including withdrawn keys.
func (t *KeyTable) Len() int {
	if t == nil {
		return 0
	}
	return t.size
}

// Active reports whether the key is valid. A withdrawal is effective as soon as the host knows of it: the time in
// Withdrawn is not compared with a clock, because the clocks of the operator and the host can differ.
func (k KeyRecord) Active() bool { return k.ID != "" && k.Withdrawn.IsZero() }
