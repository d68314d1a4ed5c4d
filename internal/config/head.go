package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Keys and key prefixes of further records that the Store writes. Hosts watch only TerminatedHostsPrefix; the others
// are outside ViewPrefix.
const (
	// AuditCounterKey contains the number of the newest audit entry. Every change compares and increments it,
	// so that two writers cannot use the same number.
	AuditCounterKey = "n/audit"
	// HistoryPrefix followed by the zero-padded revision is the key of a copy of the head record of that revision.
	// The copy is never overwritten, so that the outcome of an apply can still be read after later applies.
	HistoryPrefix = "h/"
	// TerminatedHostsPrefix followed by host/incarnation is the key of a TerminatedHostRecord.
	TerminatedHostsPrefix = "v/gone/"
)

// Head is the record at HeadKey. It names the documents of the active configuration.
type Head struct {
	// Revision is the number of the applied configuration, starting with 1. Zero means that none was applied.
	Revision int64 `json:"revision"`
	// Base is the digest of the base document.
	Base string `json:"base"`
	// Overlays maps site names to the digests of their overlays.
	Overlays map[string]string `json:"overlays,omitempty"`
	// Attempt identifies the apply that wrote the record; see ApplyRequest.Attempt.
	Attempt string    `json:"attempt"`
	Who     string    `json:"who"`
	When    time.Time `json:"when"`
	Message string    `json:"message,omitempty"`
	// ModRevision is the store revision of the transaction that wrote the record.
	ModRevision int64 `json:"-"`
}

// Sites returns the sorted names of the sites with an overlay.
func (h Head) Sites() []string { return slices.Sorted(maps.Keys(h.Overlays)) }

// AuditKind is the kind of an accepted change.
type AuditKind string

// The kinds of accepted changes.
const (
	AuditApply          AuditKind = "apply"
	AuditIssueKey       AuditKind = "issue_key"
	AuditWithdrawKey    AuditKind = "withdraw_key"
	AuditHostTerminated AuditKind = "host_gone"
)

// AuditEntry records one accepted change.
type AuditEntry struct {
	// Number is the sequence number of the entry. Numbers start with 1 and have no gaps.
	Number  int64     `json:"number"`
	Kind    AuditKind `json:"kind"`
	Who     string    `json:"who"`
	When    time.Time `json:"when"`
	Message string    `json:"message,omitempty"`
	// Attempt identifies the write, so that the entry can be found again after a lost response.
	Attempt string `json:"attempt"`
	// Revision is the configuration revision of an apply.
	Revision int64 `json:"revision,omitempty"`
	// Changes lists the changes of an apply by site, at most maxAuditChanges of each site.
	Changes     map[string][]string `json:"changes,omitempty"`
	Key         entity.KeyID        `json:"key,omitempty"`
	Workspace   entity.WorkspaceID  `json:"workspace,omitempty"`
	Host        entity.HostID       `json:"host,omitempty"`
	Incarnation entity.Incarnation  `json:"incarnation,omitempty"`
}

// TerminatedHostRecord is an operator's confirmation that the process of a host, given by its incarnation, no longer
// exists.
type TerminatedHostRecord struct {
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	Who         string             `json:"who"`
	When        time.Time          `json:"when"`
	Attempt     string             `json:"attempt"`
}

// Digest returns the name of a document: the hexadecimal SHA-256 of its bytes.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}
