// Package quarantine keeps requests away from replicas that would end when they run them. Such requests have a trait in
// common: a part of their prompts, while other requests with the same caller, model or other parts are sound; or they
// are one request that its caller sends again and again.
//
// When a replica ends, the requests that were there are suspects. So are the shared parts of the prompts of those whose
// answers had not begun. Any answer that begins later under a part clears the part, because a part ends a replica before
// that. Only an answer that is completed clears a request. A trait that is a suspect at two replicas, and has not been
// cleared, is quarantined: requests with it are refused. Single requests, of which the hosts together send one at a time,
// probe whether the suspicion is true.
//
// The hosts share what they know through the key-value service: each writes what it saw of the end of a replica, and
// the probes that it sends. So the knowledge does not depend on a coordinator, and it outlives all hosts.
//
// The types of this package do no I/O and are not safe for concurrent use. Time is passed in.
package quarantine

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// crashesToQuarantine is the number of replicas whose end makes a trait quarantined.
	crashesToQuarantine = 2
	// settleTime is how long a host waits before it writes what it saw of the end of a replica. Most parts that many
	// requests share are cleared in that time.
	settleTime = 150 * time.Millisecond
	// writeRetryPause is the pause after a write that failed.
	writeRetryPause = 300 * time.Millisecond
	// jointProbeDelay is how long after its quarantine a part may be probed by a request with several suspected traits.
	// A request with only one of them tells more.
	jointProbeDelay = 10 * time.Second
	// probeTime is the time in which a probe is expected to show a result.
	probeTime = 1500 * time.Millisecond
	// clearDelayPerHost times the number of hosts is the time over which the hosts spread the writes that clear a trait,
	// up to maxClearDelay. The first of them makes the others needless.
	clearDelayPerHost = 20 * time.Millisecond
	maxClearDelay     = 3 * time.Second
	// ownRestoreSpread is the time over which a host spreads the writes of its own records that the key-value service has
	// lost.
	ownRestoreSpread = 300 * time.Millisecond
	// jointRetention is how long after its last probe a joint record is kept at least, so that all hosts learn of its end.
	jointRetention = time.Minute
	// recordRetention is how long the record of the end of a replica is kept.
	recordRetention = time.Hour
)

// The sizes of what is kept. A caller can choose the parts of its prompts and the bodies of its requests freely.
const (
	// maxRecords and maxTraitRecords bound the records in the key-value service.
	maxRecords      = 96
	maxTraitRecords = 512
	// maxKnownRecords and maxPending bound the records and the unchecked ends of replicas at a host.
	maxKnownRecords = 192
	maxPending      = 64
	// maxIDsPerRecord bounds each list of IDs in one record.
	maxIDsPerRecord = 256
	// maxCleared bounds the traits that are remembered as cleared.
	maxCleared = 4096
	// maxJointTraits bounds the parts that one request probes with a record for each of them.
	maxJointTraits = 8
	// maxRecordsPerWrite bounds the keys in one transaction.
	maxRecordsPerWrite = 16
)

// The pauses between a probe of a trait and the next one. After the last probe only an answer that clears the trait all
// the same, or an operator, ends the quarantine; while the trait was only probed jointly with others, nothing is shown of
// it alone, and the last pause repeats. A request that is wrongly suspected is probed again soon, because only
// its own answer clears it.
var (
	partProbePauses    = []time.Duration{30 * time.Second, 10 * time.Minute}
	requestProbePauses = []time.Duration{5 * time.Second, 10 * time.Minute}
)

// probePauses returns the pauses between the probes of the trait.
func (x Trait) probePauses() []time.Duration {
	if x.IsRequest() {
		return requestProbePauses
	}
	return partProbePauses
}

// pauseAfter returns the pause after a number of probes of the trait, of which there was at least one. The last pause repeats.
func (x Trait) pauseAfter(probes int) time.Duration {
	pauses := x.probePauses()
	return pauses[min(probes, len(pauses))-1]
}

// Instance is one incarnation of a replica.
type Instance struct {
	Upstream   entity.UpstreamID
	BornMillis int64
}

// Attempt describes an attempt whose connection ended before its answer was complete.
type Attempt struct {
	Traits
	Instance Instance
	// Answering is set if the head of the answer had arrived and no event of it.
	Answering bool
	// Begun is set if an event of an answer to the request has arrived, from any replica: no part of its prompt ends
	// replicas.
	Begun bool
}

// Action is what may be done with a request.
type Action uint8

// The actions.
const (
	// Pass: the request has no quarantined trait.
	Pass Action = iota
	// Refuse: the request must not be sent.
	Refuse
	// Probe: the request may be sent once the claim of its quarantined traits has succeeded.
	Probe
)

// Verdict states what may be done with a request.
type Verdict struct {
	Action Action
	// Traits are the quarantined traits of the request. Joint is set if the request has several suspected traits.
	Traits []Trait
	Joint  bool
	// Final is set if the refusal is not expected to end soon. Otherwise RetryAfter is the time after which the caller
	// may return.
	Final      bool
	RetryAfter time.Duration
}

// Write is a transaction that the host must run. Its result is passed to Tracker.Written.
type Write struct {
	ID  uint64
	Txn kvstore.Txn
}

// Change is the start or the end of the quarantine of a trait, for the log.
type Change struct {
	Trait       Trait
	Quarantined bool
	// Replicas are the replicas whose end made the trait a suspect.
	Replicas []entity.UpstreamID
}

// Entry describes a quarantined trait to operators.
type Entry struct {
	Service catalog.ServiceID    `json:"service,omitempty"`
	Part    entity.PromptPartID  `json:"part,omitempty"`
	Request entity.RequestDigest `json:"request,omitempty"`
	// Replicas are the replicas whose end made the trait a suspect, as far as they are still known.
	Replicas []entity.UpstreamID `json:"engines"`
	// Probes is the number of requests with the trait that were sent since its quarantine began.
	Probes int `json:"probes"`
}

// Trait returns the quarantined trait.
func (e Entry) Trait() Trait { return Trait{Service: e.Service, Part: e.Part, Request: e.Request} }
