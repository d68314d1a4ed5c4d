package quarantine

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Check states what may be done with a request.
func (t *Tracker) Check(r Traits, now time.Time) Verdict {
	if len(t.blocked) == 0 {
		return Verdict{}
	}
	var v Verdict
	suspects := 0
	for _, x := range r.all() {
		if t.blocked[x] != nil {
			v.Traits = append(v.Traits, x)
		}
		if t.blocked[x] != nil || t.suspected[x] {
			suspects++
		}
	}
	v.Joint = suspects > 1
	if len(v.Traits) == 0 {
		return v
	}
	v.Action = Probe
	for _, x := range v.Traits {
		wait, possible := t.probeWait(x, v.isJoint(x), now)
		if v.isJoint(x) {
			wait = max(wait, t.jointWait(x, now))
		}
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

// isJoint reports whether the request may crash a replica by something else than a trait. A request itself is the sum of
// all its traits.
func (v Verdict) isJoint(x Trait) bool { return v.Joint && !x.IsRequest() }

// probeWait returns the time until a trait may be probed by a request; joint is set if the request has several suspects. While
// a probe may still show a result, it is the time in which that is expected. It returns false if the trait was probed alone,
// the last probe has failed and the next one is not due, or if there will be none.
func (t *Tracker) probeWait(x Trait, joint bool, now time.Time) (wait time.Duration, possible bool) {
	b, q := t.blocked[x], t.probed[x]
	if t.claiming[x] {
		return probeTime, true
	}
	if q == nil {
		if joint {
			wait = max(b.since.Add(jointProbeDelay).Sub(now), 0)
		}
		return wait, true
	}
	failed := len(b.replicas) > q.Ends
	if running := q.seenAt.Add(probeTime).Sub(now); running > 0 && !failed {
		return running, true
	}
	probedAlone := x.IsRequest() || !q.onlyJoint()
	switch {
	case q.Probes > len(x.probePauses()) && probedAlone:
		return 0, false
	case !joint && q.onlyJoint():
		return 0, true
	}
	pause := jointProbeDelay
	if q.Probes > 0 {
		pause = x.pauseAfter(q.Probes)
	}
	wait = max(q.seenAt.Add(pause).Sub(now), 0)
	return wait, wait == 0 || !failed || !probedAlone
}

// Claim returns the transaction that reserves a probe for this host. Of all hosts that claim a trait at the
// same time, one succeeds. The result must be passed to Claimed.
func (t *Tracker) Claim(v Verdict) kvstore.Txn {
	var txn kvstore.Txn
	parts := jointParts(v.Traits)
	if parts != nil {
		t.claimJoint(parts, &txn)
	}
	for _, x := range v.Traits {
		if parts != nil && !x.IsRequest() {
			continue
		}
		t.claiming[x] = true
		r := newTraitRecord(x, t.opts.Host)
		r.Probes = 1
		revision := int64(0)
		if q := t.probed[x]; q != nil {
			r.Probes, r.JointProbes, revision = q.Probes+1, q.JointProbes, q.revision
		}
		if v.isJoint(x) {
			r.JointProbes++
		}
		if b := t.blocked[x]; b != nil {
			r.Ends = len(b.replicas)
		}
		key := t.opts.KeyPrefix + traitKey(x)
		txn.Compares = append(txn.Compares, kvstore.Unchanged(key, revision))
		txn.Success = append(txn.Success, kvstore.Put(key, encode(r)))
	}
	return txn
}

// Claimed processes the result of a claim. revision is that of the records if it succeeded.
func (t *Tracker) Claimed(traits []Trait, txn kvstore.Txn, succeeded bool, revision int64, now time.Time) {
	for _, x := range traits {
		delete(t.claiming, x)
	}
	t.jointClaimed(traits)
	if !succeeded {
		return
	}
	var events []kvstore.Event
	for _, op := range txn.Success {
		events = append(events, kvstore.Event{Pair: kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: revision}})
	}
	t.Apply(events, now)
}

// Release returns the transaction with which an operator releases a trait. It is no longer suspected of what has
// happened before.
func (t *Tracker) Release(x Trait) kvstore.Txn {
	r := newTraitRecord(x, t.opts.Host)
	r.Released = true
	return kvstore.Txn{Success: []kvstore.Op{kvstore.Put(t.opts.KeyPrefix+traitKey(x), encode(r))}}
}
