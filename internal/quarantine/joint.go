package quarantine

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// A transaction has room for the records of maxJointTraits traits. The probe of a request with more quarantined parts is
// claimed in one record for all parts of a service that are probed so, the joint record.

// jointPrefix is the prefix of the keys of joint records.
const jointPrefix = Prefix + "joint/"

// maxJointParts bounds the parts in one joint record.
const maxJointParts = 512

// jointKey is the key of the joint record of a service.
func jointKey(service catalog.ServiceID) string { return jointPrefix + digest(string(service)) }

// jointRecord is the value of the key of a joint record.
type jointRecord struct {
	Service catalog.ServiceID                 `json:"service"`
	Host    entity.HostID                     `json:"host"`
	Parts   map[entity.PromptPartID]jointPart `json:"parts"`
}

// jointPart is what a joint record states of one part.
type jointPart struct {
	// Probes is the number of requests with the part, among too many others for records of their own, that hosts were
	// allowed to send.
	Probes int `json:"probes"`
	// Cleared is set if an answer has cleared the part of the ends of replicas that were known then, of which there were Ends.
	Cleared bool `json:"cleared,omitempty"`
	Ends    int  `json:"ends,omitempty"`
}

func decodeJoint(value []byte) (*jointRecord, error) {
	var r jointRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("quarantine: joint record: %w", err)
	}
	if r.Service == "" || len(r.Parts) > maxJointParts {
		return nil, errors.New("quarantine: joint record is invalid")
	}
	for _, p := range r.Parts {
		if !isCount(p.Probes) || !isCount(p.Ends) {
			return nil, errors.New("quarantine: joint record has an invalid number")
		}
	}
	return &r, nil
}

// jointState is the joint record of a service with what this host has to do about it.
type jointState struct {
	revision int64
	// parts are the parts in the record, with what this host has learned since, and probedAt when it learned of their
	// last probes.
	parts    map[entity.PromptPartID]jointPart
	probedAt map[entity.PromptPartID]time.Time
	// claiming is set while this host claims a probe.
	claiming bool
	// unwritten is set while parts that have been cleared are not in the record. This host writes it at writeAt.
	unwritten, writing bool
	writeAt            time.Time
}

// jointOf returns the joint record of a service, an empty one if there is none.
func (t *Tracker) jointOf(service catalog.ServiceID) *jointState {
	j := t.joint[service]
	if j == nil {
		j = &jointState{parts: make(map[entity.PromptPartID]jointPart), probedAt: make(map[entity.PromptPartID]time.Time)}
		t.joint[service] = j
	}
	return j
}

// jointParts returns the parts among the quarantined traits of a request if they are too many for records of their own.
func jointParts(traits []Trait) []Trait {
	parts := slices.DeleteFunc(slices.Clone(traits), Trait.IsRequest)
	if len(parts) <= maxJointTraits {
		return nil
	}
	return parts
}

// jointWait returns the time until a quarantined part may be probed with many others, because of earlier probes of this kind.
func (t *Tracker) jointWait(x Trait, now time.Time) time.Duration {
	j := t.joint[x.Service]
	if j == nil {
		return 0
	}
	if j.claiming {
		return probeTime
	}
	p := j.parts[x.Part]
	if p.Cleared || p.Probes == 0 {
		return 0
	}
	return max(j.probedAt[x.Part].Add(x.pauseAfter(p.Probes)).Sub(now), 0)
}

// claimJoint adds the claim of a probe of many parts to a transaction.
func (t *Tracker) claimJoint(parts []Trait, txn *kvstore.Txn) {
	service := parts[0].Service
	j := t.jointOf(service)
	j.claiming = true
	next := maps.Clone(j.parts)
	for _, x := range parts {
		p := next[x.Part]
		if p.Cleared {
			p = jointPart{}
		}
		p.Probes++
		next[x.Part] = p
	}
	t.boundJoint(next, parts)
	key := t.opts.KeyPrefix + jointKey(service)
	txn.Compares = append(txn.Compares, kvstore.Unchanged(key, j.revision))
	txn.Success = append(txn.Success, kvstore.Put(key, encode(jointRecord{Service: service, Host: t.opts.Host, Parts: next})))
}

// jointClaimed records that the claim of a probe has a result.
func (t *Tracker) jointClaimed(traits []Trait) {
	if parts := jointParts(traits); parts != nil {
		t.jointOf(parts[0].Service).claiming = false
	}
}

// boundJoint removes parts from a joint record that has too many: those that are not quarantined, then any that are not
// probed now.
func (t *Tracker) boundJoint(parts map[entity.PromptPartID]jointPart, probed []Trait) {
	if len(parts) <= maxJointParts {
		return
	}
	service := probed[0].Service
	maps.DeleteFunc(parts, func(id entity.PromptPartID, p jointPart) bool {
		return p.Cleared || t.blocked[Trait{Service: service, Part: id}] == nil
	})
	for _, id := range slices.Sorted(maps.Keys(parts)) {
		if len(parts) <= maxJointParts {
			return
		}
		if !slices.Contains(probed, Trait{Service: service, Part: id}) || len(probed) > maxJointParts {
			delete(parts, id)
		}
	}
}

// applyJoint applies a change of a joint record.
func (t *Tracker) applyJoint(e kvstore.Event, now time.Time) error {
	if e.Deleted {
		maps.DeleteFunc(t.joint, func(s catalog.ServiceID, _ *jointState) bool { return t.opts.KeyPrefix+jointKey(s) == e.Pair.Key })
		return nil
	}
	r, err := decodeJoint(e.Pair.Value)
	if err != nil {
		return err
	}
	j := t.jointOf(r.Service)
	if e.Pair.ModRevision == j.revision {
		return nil
	}
	restored := kvstore.EraOf(e.Pair.ModRevision) != kvstore.EraOf(j.revision)
	unwritten := false
	for id, p := range r.Parts {
		known := j.parts[id]
		if restored {
			// A restored copy may hold an earlier record.
			p.Probes = max(p.Probes, known.Probes)
		}
		if p.Probes != known.Probes {
			j.probedAt[id] = now
		}
		if p.Cleared {
			t.clearedJointly(Trait{Service: r.Service, Part: id}, p.Ends)
		}
		if known.Cleared && known.Probes == p.Probes {
			unwritten = unwritten || !p.Cleared
			p = known
		}
		r.Parts[id] = p
	}
	j.revision, j.parts, j.unwritten = e.Pair.ModRevision, r.Parts, j.unwritten && unwritten
	maps.DeleteFunc(j.probedAt, func(id entity.PromptPartID, _ time.Time) bool { _, ok := r.Parts[id]; return !ok })
	return nil
}

// clearedJointly releases a part that another host has cleared, unless more replicas have ended under it than that host knew.
func (t *Tracker) clearedJointly(x Trait, ends int) {
	if t.endsUnder(x) <= ends {
		t.clear(x)
		t.removeSuspect(x)
	}
}

// endsUnder returns the number of replicas that are known to have ended under a trait.
func (t *Tracker) endsUnder(x Trait) int {
	ends := make(map[Instance]struct{})
	for _, c := range t.crashes {
		if slices.Contains(c.traits(), x) {
			ends[c.instance()] = struct{}{}
		}
	}
	return len(ends)
}

// clearJoint records in the joint record that an answer has cleared a part, and reports whether that has to be written.
// atOnce is set if the answer is that of the probe.
func (t *Tracker) clearJoint(x Trait, atOnce bool, now time.Time) bool {
	j := t.joint[x.Service]
	if j == nil || x.IsRequest() {
		return false
	}
	p, ok := j.parts[x.Part]
	if !ok || p.Cleared {
		return false
	}
	p.Cleared, p.Ends = true, t.endsUnder(x)
	j.parts[x.Part] = p
	j.unwritten, j.writeAt = true, t.clearTime(atOnce, now)
	t.mayWrite = true
	return true
}

// jointWrites returns the writes of joint records that are due.
func (t *Tracker) jointWrites(now time.Time) []Write {
	var out []Write
	for service, j := range t.joint {
		if !j.unwritten || j.writing || now.Before(j.writeAt) {
			continue
		}
		j.unwritten, j.writing = false, true
		key := t.opts.KeyPrefix + jointKey(service)
		out = append(out, t.newWrite(write{joint: service}, kvstore.Txn{
			Compares: []kvstore.Compare{kvstore.Unchanged(key, j.revision)},
			Success:  []kvstore.Op{kvstore.Put(key, encode(jointRecord{Service: service, Host: t.opts.Host, Parts: j.parts}))},
		}))
	}
	return out
}

// jointWritten processes the result of the write of a joint record.
func (t *Tracker) jointWritten(service catalog.ServiceID, succeeded bool, now time.Time) {
	j := t.joint[service]
	if j == nil {
		return
	}
	j.writing = false
	if !succeeded {
		j.unwritten, j.writeAt = true, now.Add(writeRetryPause)
		t.mayWrite = true
	}
}

// restoreJoint makes this host write a joint record again that the key-value service has lost.
func (t *Tracker) restoreJoint(key string, now time.Time) {
	for service, j := range t.joint {
		if jointKey(service) == key {
			j.revision, j.unwritten, j.writeAt = 0, true, now.Add(t.restoreDelay(""))
		}
	}
}

// pruneJoint returns the operations that remove the joint records without a part that is still quarantined and without a
// recent probe.
func (t *Tracker) pruneJoint(now time.Time) []kvstore.Op {
	var out []kvstore.Op
	for service, j := range t.joint {
		inUse := j.claiming || j.unwritten || j.revision == 0
		for id := range j.parts {
			inUse = inUse || t.blocked[Trait{Service: service, Part: id}] != nil || now.Sub(j.probedAt[id]) < jointRetention
		}
		if !inUse {
			out = append(out, kvstore.Op{Kind: kvstore.OpDelete, Key: t.opts.KeyPrefix + jointKey(service)})
		}
	}
	return out
}
