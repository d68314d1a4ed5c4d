package quarantine

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Check states what may be done with a request.
func (t *Tracker) Check(service catalog.ServiceID, ids []entity.PromptPartID, now time.Time) Verdict {
	if len(t.blocked) == 0 {
		return Verdict{}
	}
	var v Verdict
	suspects := 0
	for _, id := range ids {
		p := Part{Service: service, ID: id}
		if t.blocked[p] != nil {
			v.Parts = append(v.Parts, p)
		}
		if t.blocked[p] != nil || t.suspected[p] {
			suspects++
		}
	}
	v.Joint = suspects > 1
	switch {
	case len(v.Parts) == 0:
		return v
	case len(v.Parts) > maxJointParts:
		v.Action, v.Final = Refuse, true
		return v
	}
	v.Action = Probe
	for _, p := range v.Parts {
		wait, possible := t.probeWait(p, v.Joint, now)
		switch {
		case !possible:
			v.Action, v.Final = Refuse, true
		case wait > 0:
			v.Action = Refuse
			v.RetryAfter = max(v.RetryAfter, wait)
		}
	}
	return v
}

// probeWait returns the time until a part may be probed by a request; joint is set if the request has several suspected
// parts. While a probe may still show a result, it is the time in which that is expected. It returns false
// if a probe has failed and the next one is not due, or if there will be none.
func (t *Tracker) probeWait(p Part, joint bool, now time.Time) (wait time.Duration, possible bool) {
	b, q := t.blocked[p], t.parts[p]
	if t.claiming[p] {
		return probeTime, true
	}
	if q == nil {
		if joint {
			wait = max(b.since.Add(jointProbeDelay).Sub(now), 0)
		}
		return wait, true
	}
	failed := len(b.engines) > q.Ends
	if running := q.seenAt.Add(probeTime).Sub(now); running > 0 && !failed {
		return running, true
	}
	switch {
	case q.Probes > len(probePauses):
		return 0, false
	case !joint && q.onlyJoint():
		return 0, true
	}
	pause := jointProbeDelay
	if q.Probes > 0 {
		pause = probePauses[q.Probes-1]
	}
	wait = max(q.seenAt.Add(pause).Sub(now), 0)
	return wait, wait == 0 || !failed
}

// Claim returns the transaction that reserves a probe for this host. Of all hosts that claim a part at the
// same time, one succeeds. The result must be passed to Claimed.
func (t *Tracker) Claim(v Verdict) kvstore.Txn {
	var txn kvstore.Txn
	for _, p := range v.Parts {
		t.claiming[p] = true
		r := partRecord{Service: p.Service, Part: p.ID, Probes: 1, Host: t.opts.Host}
		revision := int64(0)
		if q := t.parts[p]; q != nil {
			r.Probes, r.JointProbes, revision = q.Probes+1, q.JointProbes, q.revision
		}
		if v.Joint {
			r.JointProbes++
		}
		if b := t.blocked[p]; b != nil {
			r.Ends = len(b.engines)
		}
		key := t.opts.KeyPrefix + partKey(p)
		txn.Compares = append(txn.Compares, kvstore.Unchanged(key, revision))
		txn.Success = append(txn.Success, kvstore.Put(key, encode(r)))
	}
	return txn
}

// Claimed processes the result of a claim. revision is that of the records if it succeeded.
func (t *Tracker) Claimed(parts []Part, txn kvstore.Txn, succeeded bool, revision int64, now time.Time) {
	for _, p := range parts {
		delete(t.claiming, p)
	}
	if !succeeded {
		return
	}
	var events []kvstore.Event
	for _, op := range txn.Success {
		events = append(events, kvstore.Event{Pair: kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: revision}})
	}
	t.Apply(events, now)
}

// Release returns the transaction with which an operator releases a part. The part is no longer suspected of what has
// happened before.
func (t *Tracker) Release(p Part) kvstore.Txn {
	r := partRecord{Service: p.Service, Part: p.ID, Host: t.opts.Host, Released: true}
	return kvstore.Txn{Success: []kvstore.Op{kvstore.Put(t.opts.KeyPrefix+partKey(p), encode(r))}}
}
