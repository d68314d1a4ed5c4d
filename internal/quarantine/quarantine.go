// Package quarantine keeps requests away from engines that would end when they begin to answer them. Such requests have
// a part of their prompts in common, while other requests with the same caller, model or other parts are sound.
//
// When an engine ends, the requests of a host that it had not begun to answer are suspects, with all shared parts of
// their prompts. A part is cleared by any answer that begins after its suspicion became known. A part that is a suspect
// at two engines, and has not been cleared, is quarantined: requests with it are refused. Single requests, of which the
// hosts together send one at a time, probe whether the suspicion is true.
//
// The hosts share what they know through the key-value service: each writes what it saw of the end of an engine, and
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
	// crashesToQuarantine is the number of engines whose end makes a part quarantined.
	crashesToQuarantine = 2
	// settleTime is how long a host waits before it writes what it saw of the end of an engine. Most parts that many
	// requests share are cleared in that time.
	settleTime = 150 * time.Millisecond
	// writeRetryPause is the pause after a write that failed.
	writeRetryPause = 300 * time.Millisecond
	// jointProbeDelay is how long after its quarantine a part may be probed by a request with several suspected parts.
	// A request with only one of them tells more.
	jointProbeDelay = 10 * time.Second
	// probeTime is the time in which a probe is expected to show a result.
	probeTime = 1500 * time.Millisecond
	// clearDelayPerHost times the number of hosts is the time over which the hosts spread the writes that clear a part,
	// up to maxClearDelay. The first of them makes the others needless.
	clearDelayPerHost = 20 * time.Millisecond
	maxClearDelay     = 3 * time.Second
	// ownRestoreSpread is the time over which a host spreads the writes of its own records that the key-value service has
	// lost.
	ownRestoreSpread = 300 * time.Millisecond
	// recordRetention is how long the record of the end of an engine is kept.
	recordRetention = time.Hour
)

// The sizes of what is kept. A caller can choose the parts of its prompts freely.
const (
	// maxRecords and maxPartRecords bound the records in the key-value service.
	maxRecords     = 96
	maxPartRecords = 512
	// maxKnownRecords and maxPending bound the records and the unchecked ends of engines at a host.
	maxKnownRecords = 192
	maxPending      = 64
	// maxPartsPerRecord bounds the parts in one record.
	maxPartsPerRecord = 256
	// maxCleared bounds the parts that are remembered as cleared.
	maxCleared = 4096
	// maxJointParts bounds the parts that one request probes.
	maxJointParts = 8
	// maxRecordsPerWrite bounds the keys in one transaction.
	maxRecordsPerWrite = 16
)

// probePauses are the times between a probe of a part and the next one. After the last probe only an answer that begins
// all the same, or an operator, ends the quarantine.
var probePauses = []time.Duration{30 * time.Second, 10 * time.Minute}

// Part is a part of prompts to the engines of one service. Requests of all workspaces state the same ID for the same
// content.
type Part struct {
	Service catalog.ServiceID
	ID      entity.PromptPartID
}

// Instance is one incarnation of an engine.
type Instance struct {
	Upstream   entity.UpstreamID
	BornMillis int64
}

// Attempt describes an attempt whose connection ended before the first event of its answer.
type Attempt struct {
	Service  catalog.ServiceID
	Instance Instance
	// Parts are the shared parts of the prompt.
	Parts []entity.PromptPartID
	// Answering is set if the head of the answer had arrived.
	Answering bool
}

// Action is what may be done with a request.
type Action uint8

// The actions.
const (
	// Pass: the request has no quarantined part.
	Pass Action = iota
	// Refuse: the request must not be sent.
	Refuse
	// Probe: the request may be sent once the claim of its quarantined parts has succeeded.
	Probe
)

// Verdict states what may be done with a request.
type Verdict struct {
	Action Action
	// Parts are the quarantined parts of the request. Joint is set if the request has several suspected parts.
	Parts []Part
	Joint bool
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

// Change is the start or the end of the quarantine of a part, for the log.
type Change struct {
	Part        Part
	Quarantined bool
	// Engines are the engines whose end made the part a suspect.
	Engines []entity.UpstreamID
}

// Entry describes a quarantined part to operators.
type Entry struct {
	Service catalog.ServiceID   `json:"service"`
	Part    entity.PromptPartID `json:"part"`
	// Engines are the engines whose end made the part a suspect, as far as they are still known.
	Engines []entity.UpstreamID `json:"engines"`
	// Probes is the number of requests with the part that were sent since its quarantine began.
	Probes int `json:"probes"`
}
