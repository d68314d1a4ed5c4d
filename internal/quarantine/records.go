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
	Prefix         = "quarantine/"
	crashesPrefix  = Prefix + "crashes/"
	partsPrefix    = Prefix + "parts/"
	requestsPrefix = Prefix + "requests/"
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

// traitKey is the key of the record of a trait.
func traitKey(x Trait) string {
	if x.IsRequest() {
		return requestsPrefix + string(x.Request)
	}
	return partsPrefix + digest(string(x.Service), string(x.Part))
}

// crashRecord is the value of a crash key: what the requests of one host that were at a replica when it ended have to be
// recognized by.
type crashRecord struct {
	Service  catalog.ServiceID `json:"service"`
	Upstream entity.UpstreamID `json:"upstream"`
	Born     int64             `json:"born_ms"`
	Host     entity.HostID     `json:"host"`
	// Answering are the parts of requests whose answers had no event yet, and for which the head of the answer had
	// arrived. Waiting are those of the requests without a head.
	Answering []entity.PromptPartID `json:"answering,omitempty"`
	Waiting   []entity.PromptPartID `json:"waiting,omitempty"`
	// Requests are the requests whose answers were not complete.
	Requests []entity.RequestDigest `json:"requests,omitempty"`
}

func (r *crashRecord) instance() Instance {
	return Instance{Upstream: r.Upstream, BornMillis: r.Born}
}

func (r *crashRecord) isEmpty() bool { return len(r.Answering)+len(r.Waiting)+len(r.Requests) == 0 }

// remove removes the traits that match and reports whether the record contained any.
func (r *crashRecord) remove(match func(Trait) bool) bool {
	n := len(r.Answering) + len(r.Waiting) + len(r.Requests)
	matchPart := func(id entity.PromptPartID) bool { return match(Trait{Service: r.Service, Part: id}) }
	r.Answering = slices.DeleteFunc(r.Answering, matchPart)
	r.Waiting = slices.DeleteFunc(r.Waiting, matchPart)
	r.Requests = slices.DeleteFunc(r.Requests, func(d entity.RequestDigest) bool { return match(Trait{Request: d}) })
	return len(r.Answering)+len(r.Waiting)+len(r.Requests) < n
}

// traits returns all traits in the record.
func (r *crashRecord) traits() []Trait {
	out := Traits{Service: r.Service, Parts: slices.Concat(r.Answering, r.Waiting)}.ofParts()
	for _, d := range r.Requests {
		out = append(out, Trait{Request: d})
	}
	return out
}

// addAttempt adds the traits of an attempt.
func (r *crashRecord) addAttempt(a Attempt) {
	if a.Digest != "" {
		r.Requests = merge(r.Requests, a.Digest)
	}
	switch {
	case a.Begun:
	case a.Answering:
		r.Answering = merge(r.Answering, a.Parts...)
	default:
		r.Waiting = merge(r.Waiting, a.Parts...)
	}
}

// addRecord adds what the same host has written before.
func (r *crashRecord) addRecord(former crashRecord) {
	r.Answering = merge(r.Answering, former.Answering...)
	r.Waiting = merge(r.Waiting, former.Waiting...)
	r.Requests = merge(r.Requests, former.Requests...)
}

// merge adds IDs to a list, each once. Of too many those with the lowest hashes are kept, so that what different
// records have in common is kept in all of them.
func merge[ID ~string](list []ID, more ...ID) []ID {
	merged := append(slices.Clone(list), more...)
	slices.Sort(merged)
	merged = slices.Compact(merged)
	if len(merged) > maxIDsPerRecord {
		slices.SortFunc(merged, func(a, b ID) int { return cmp.Compare(hashOf(string(a)), hashOf(string(b))) })
		merged = merged[:maxIDsPerRecord]
	}
	return merged
}

func hashOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// traitRecord is the value of the key of a trait. It exists from the first probe of the trait until its release.
type traitRecord struct {
	Service catalog.ServiceID    `json:"service,omitempty"`
	Part    entity.PromptPartID  `json:"part,omitempty"`
	Request entity.RequestDigest `json:"request,omitempty"`
	// Probes is the number of requests with the trait that hosts were allowed to send.
	Probes int `json:"probes"`
	// JointProbes is the number of those that may have crashed a replica by another trait, too.
	JointProbes int `json:"joint_probes,omitempty"`
	// Ends is the number of replicas that were known to have ended under the trait when the last of them was claimed. If
	// more are known, it has failed.
	Ends int `json:"ends,omitempty"`
	// Host is the host that sent the last of them.
	Host entity.HostID `json:"host"`
	// Released is set if an operator has released the trait. The hosts then remove the record.
	Released bool `json:"released,omitempty"`
}

func newTraitRecord(x Trait, host entity.HostID) traitRecord {
	return traitRecord{Service: x.Service, Part: x.Part, Request: x.Request, Host: host}
}

func (r *traitRecord) trait() Trait {
	return Trait{Service: r.Service, Part: r.Part, Request: r.Request}
}

func decodeCrash(value []byte) (*crashRecord, error) {
	var r crashRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("quarantine: record of the end of an engine: %w", err)
	}
	if r.Upstream == "" || max(len(r.Answering), len(r.Waiting), len(r.Requests)) > maxIDsPerRecord || slices.Contains(r.Requests, "") {
		return nil, fmt.Errorf("quarantine: record of the end of an engine is invalid")
	}
	return &r, nil
}

// maxCount bounds the numbers of probes and of ends of replicas that a record may state.
const maxCount = 1 << 20

// isCount reports whether a number in a record can be one of probes or of ends of replicas.
func isCount(n int) bool { return n >= 0 && n <= maxCount }

func decodeTrait(value []byte) (*traitRecord, error) {
	var r traitRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("quarantine: record of a trait: %w", err)
	}
	if (r.Part == "") == (r.Request == "") || r.Request != "" && r.Service != "" || !isCount(r.Probes) || !isCount(r.JointProbes) || !isCount(r.Ends) || r.Probes < r.JointProbes {
		return nil, fmt.Errorf("quarantine: record of a trait is invalid")
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
