// Package claims makes sure that a request with an idempotency key runs at most once. A claim is a record of the key in
// the key-value service. It is written with create-if-absent before the request is sent to an upstream, and the answer
// is stored in it afterwards. A repetition of the request finds the claim and receives the stored answer. See section
// 2.9 of docs/design.md.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// MaxBody is the largest answer body that is stored, in bytes. It keeps a record well below the value limit of
// 1 MB of the key-value service.
const MaxBody = 256 << 10

// Digest identifies the content of a request, so that a key that is reused for a different request is detected.
type Digest string

// DigestOf returns the digest of a request. Each part is hashed after its length, so that different requests
// cannot have the same hash input.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

// Path returns the key of a claim in the key-value service; key is the caller's idempotency key. The path does not
// contain the time, so that create-if-absent also detects a claim that was written in another hour, under another
// lease.
func Path(workspace entity.WorkspaceID, key string) string {
	sum := sha256.Sum256([]byte(key))
	return config.ClaimsPrefix + string(workspace) + "/" + hex.EncodeToString(sum[:])
}

// Record is the stored form of a claim.
type Record struct {
	// Attempt identifies the call of Claim that created the claim.
	Attempt     string             `json:"attempt"`
	Digest      Digest             `json:"digest"`
	Request     entity.RequestID   `json:"request"`
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	// Answer is nil until the request has completed.
	Answer *StoredAnswer `json:"answer,omitempty"`
}

// StoredAnswer is the answer of a completed request.
type StoredAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is set when the body was larger than MaxBody and is not stored.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// bounded returns the answer, without its body if the body is larger than MaxBody.
func (a StoredAnswer) bounded() StoredAnswer {
	if len(a.Body) > MaxBody {
		a.Body, a.BodyOmitted = nil, true
	}
	return a
}

// encode returns the JSON form of a record.
func (r Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claims: record cannot be encoded: " + err.Error())
	}
	return b
}

// parseRecord parses the JSON form of a record.
func parseRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("claims: decode record: %w", err)
	}
	return r, nil
}
