package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Keys below the prefix of the installation. Prefix is common to all keys of this package.
const (
	Prefix        = "quarantine/"
	crashesPrefix = Prefix + "crashes/"
	partsPrefix   = Prefix + "parts/"
)

// keyDigestBytes is the length of the digests in keys. IDs of parts and names of services may contain any character.
const keyDigestBytes = 12

func digest(fields ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(fields, "\x00")))
	return hex.EncodeToString(sum[:keyDigestBytes])
}

// crashKey is the key of what one host saw of the end of an engine.
func crashKey(i Instance, host entity.HostID) string {
	return crashesPrefix + digest(string(i.Upstream), strconv.FormatInt(i.BornMillis, 10)) + "/" + digest(string(host))
}

func partKey(p Part) string { return partsPrefix + digest(string(p.Service), string(p.ID)) }

// crashRecord is the value of a crash key: the parts of the requests of one host that an engine had not begun to answer
// when it ended.
type crashRecord struct {
	Service  catalog.ServiceID `json:"service"`
	Upstream entity.UpstreamID `json:"upstream"`
	Born     int64             `json:"born_ms"`
	Host     entity.HostID     `json:"host"`
	// Answering are the parts of requests for which the head of the answer had arrived, and Waiting those of the others.
	Answering []entity.PromptPartID `json:"answering,omitempty"`
	Waiting   []entity.PromptPartID `json:"waiting,omitempty"`
}

func (r *crashRecord) instance() Instance {
	return Instance{Upstream: r.Upstream, BornMillis: r.Born}
}

func (r *crashRecord) isEmpty() bool { return len(r.Answering)+len(r.Waiting) == 0 }

// remove removes a part and reports whether the record contained it.
func (r *crashRecord) remove(id entity.PromptPartID) bool {
	n := len(r.Answering) + len(r.Waiting)
	r.Answering = slices.DeleteFunc(r.Answering, func(p entity.PromptPartID) bool { return p == id })
	r.Waiting = slices.DeleteFunc(r.Waiting, func(p entity.PromptPartID) bool { return p == id })
	return len(r.Answering)+len(r.Waiting) < n
}

// add adds the parts of a request, each once. Of too many parts those with the lowest hashes are kept, so that what
// different records have in common is kept in all of them.
func (r *crashRecord) add(parts []entity.PromptPartID, answering bool) {
	list := &r.Waiting
	if answering {
		list = &r.Answering
	}
	merged := append(slices.Clone(*list), parts...)
	slices.Sort(merged)
	merged = slices.Compact(merged)
	if len(merged) > maxPartsPerRecord {
		slices.SortFunc(merged, func(a, b entity.PromptPartID) int { return cmp.Compare(hashOf(a), hashOf(b)) })
		merged = merged[:maxPartsPerRecord]
	}
	*list = merged
}

func hashOf(id entity.PromptPartID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// partRecord is the value of the key of a part. It exists from the first probe of the part until its release.
type partRecord struct {
	Service catalog.ServiceID   `json:"service"`
	Part    entity.PromptPartID `json:"part"`
	// Probes is the number of requests with the part that hosts were allowed to send.
	Probes int `json:"probes"`
	// JointProbes is the number of those that had several suspected parts.
	JointProbes int `json:"joint_probes,omitempty"`
	// Ends is the number of engines that were known to have ended under the part when the last of them was claimed. If
	// more are known, it has failed.
	Ends int `json:"ends,omitempty"`
	// Host is the host that sent the last of them.
	Host entity.HostID `json:"host"`
	// Released is set if an operator has released the part. The hosts then remove the record.
	Released bool `json:"released,omitempty"`
}

func decodeCrash(value []byte) (*crashRecord, error) {
	var r crashRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("quarantine: record of the end of an engine: %w", err)
	}
	if r.Upstream == "" || len(r.Answering) > maxPartsPerRecord || len(r.Waiting) > maxPartsPerRecord {
		return nil, fmt.Errorf("quarantine: record of the end of an engine is invalid")
	}
	return &r, nil
}

func decodePart(value []byte) (*partRecord, error) {
	var r partRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("quarantine: record of a part: %w", err)
	}
	if r.Part == "" || r.JointProbes < 0 || r.Probes < r.JointProbes {
		return nil, fmt.Errorf("quarantine: record of a part is invalid")
	}
	return &r, nil
}

// encode encodes a record.
func encode(record any) []byte {
	b, err := json.Marshal(record)
	if err != nil {
		panic("quarantine: record cannot be encoded: " + err.Error())
	}
	return b
}
