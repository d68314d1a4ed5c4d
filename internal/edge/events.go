package edge

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/quarantine"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// event is one input of the control state.
type event interface{ isEvent() }

// requestArrived is a request that has passed the checks of its key and route.
type requestArrived struct {
	request   *dispatch.Request
	stepQueue *stepQueue
}

// attemptEnded is the end of an attempt. suspect is set if its connection ended before the answer was complete.
type attemptEnded struct {
	result  dispatch.AttemptResult
	suspect *suspectAttempt
}

// suspectAttempt is an attempt that may have crashed its replica.
type suspectAttempt struct {
	attempt quarantine.Attempt
	addr    string
}

// answerBegan reports that the answer to a request with a suspected trait has begun, and answerCompleted that it has been
// received completely.
type (
	answerBegan struct {
		traits quarantine.Traits
		probe  bool
	}
	answerCompleted struct {
		traits quarantine.Traits
		probe  bool
	}
)

// replicaChecked states whether a replica has ended.
type replicaChecked struct {
	instance quarantine.Instance
	ended    bool
}

// quarantineChanged holds changes of the records about crashes of engines.
type quarantineChanged struct{ changes []kvstore.Event }

// releasesChanged holds changes of the records of releases, and releaseWritten is the end of a write of this host to them.
type (
	releasesChanged struct{ changes []kvstore.Event }
	releaseWritten  struct{ err error }
)

// recordsLost names the keys of records of the hosts that the key-value service has lost in a restore.
type recordsLost struct{ keys []string }

// quarantineWritten is the result of a write of this host to these records.
type quarantineWritten struct {
	id  uint64
	err error
}

// probeClaimed is the result of the claim of a probe.
type probeClaimed struct {
	request  entity.RequestID
	traits   []quarantine.Trait
	txn      kvstore.Txn
	revision int64
	// err is nil if the claim has succeeded.
	err error
}

// upstreamStatusReceived is the self-reported status of an upstream in an answer.
type upstreamStatusReceived struct {
	upstream   entity.UpstreamID
	bornMillis int64
	status     dispatch.StatusReport
	// final reports whether the answer is certainly the upstream's own. limitStamp is that of the step.
	final      bool
	limitStamp uint64
}

// callerLeft reports that the caller of a request has left, or that the request has ended without a result of
// an attempt: its handler panicked, or its key can no longer be proven valid.
type callerLeft struct{ id entity.RequestID }

// catalogChanged activates a configuration.
type catalogChanged struct{ catalog *catalog.Catalog }

// upstreamsChanged holds changes of the list of upstreams. The receiver must not modify the upstreams in put,
// because the watcher keeps them, too.
type upstreamsChanged struct {
	put     []*fleet.Upstream
	removed []entity.UpstreamID
}

// addPut and addRemoved keep only the last change of each upstream: an entry may be removed and put again
// between two reads.
func (e *upstreamsChanged) addPut(u *fleet.Upstream) {
	e.removed = slices.DeleteFunc(e.removed, func(id entity.UpstreamID) bool { return id == u.ID })
	e.put = append(e.put, u)
}

func (e *upstreamsChanged) addRemoved(id entity.UpstreamID) {
	e.put = slices.DeleteFunc(e.put, func(u *fleet.Upstream) bool { return u.ID == id })
	e.removed = append(e.removed, id)
}

// membersChanged holds the registered hosts and the addresses at which they serve other hosts.
type membersChanged struct {
	hosts []entity.HostID
	addrs map[entity.HostID]string
}

// revisionAdvanced states that this host knows all changes of the key-value service up to a revision.
type revisionAdvanced struct {
	// changes are the changes that are relevant to other hosts.
	changes  []kvstore.Event
	revision int64
	// began is when this host's read that found the changes began, zero if the coordinator relayed them.
	began time.Time
}

// registrationConfirmed holds the time until which the registration of this host is certain.
type registrationConfirmed struct{ until time.Time }

// registrationLost reports that the registration of this host has ended.
type registrationLost struct{}

// holderChanged names the holder of the coordinator lease, nil if there is none.
type holderChanged struct{ holder *election.Holder }

// leaseChanged holds this host's own coordinator lease, nil when it is lost.
type leaseChanged struct{ lease *election.CoordinatorLease }

// fleetStateReceived, hostStateReceived, tokensAnswered and noticesReceived are messages of the coordinator.
type fleetStateReceived struct{ state *wire.FleetState }

type hostStateReceived struct{ state *wire.HostState }

type tokensAnswered struct{ answer *wire.TokenResponse }

type noticesReceived struct{ notices *wire.UpstreamNotices }

// tokensRequested is a host's token request to the coordinator.
type tokensRequested struct {
	request *wire.TokenRequest
	session *peer.Session
}

// coordinatorDialed is a connection to the coordinator's address on which no message has been received yet.
type coordinatorDialed struct{ session *peer.Session }

// coordinatorLinkChanged reports that a session with the coordinator is established (up), because the
// coordinator has answered on it, or that it has ended.
type coordinatorLinkChanged struct {
	session *peer.Session
	up      bool
}

// reportReceived is a host's report to the coordinator; session is nil for the coordinator's own report.
type reportReceived struct {
	report  *wire.HostReport
	session *peer.Session
}

// hostSessionEnded reports that a host's session with this coordinator has ended.
type hostSessionEnded struct{ session *peer.Session }

// orderAnswered is the answer to an order.
type orderAnswered struct {
	order  swap.Order
	answer swap.Answer
	status dispatch.StatusReport
	took   time.Duration
}

// engineReportRead is the report of an engine, or the error if there is none.
type engineReportRead struct {
	upstream fleet.Incarnation
	report   swap.Report
	status   dispatch.StatusReport
	err      error
}

// stopRequested starts the graceful stop.
type stopRequested struct {
	// sendBy is when the last request may be sent to an upstream that might still run at end, when the process ends.
	sendBy, end time.Time
}

// query is a function to run with the control state.
type query struct {
	run  func(c *core, now time.Time)
	done chan struct{}
}

func (requestArrived) isEvent()         {}
func (attemptEnded) isEvent()           {}
func (answerBegan) isEvent()            {}
func (replicaChecked) isEvent()         {}
func (answerCompleted) isEvent()        {}
func (quarantineChanged) isEvent()      {}
func (recordsLost) isEvent()            {}
func (releasesChanged) isEvent()        {}
func (releaseWritten) isEvent()         {}
func (quarantineWritten) isEvent()      {}
func (probeClaimed) isEvent()           {}
func (upstreamStatusReceived) isEvent() {}
func (callerLeft) isEvent()             {}
func (catalogChanged) isEvent()         {}
func (upstreamsChanged) isEvent()       {}
func (membersChanged) isEvent()         {}
func (holderChanged) isEvent()          {}
func (leaseChanged) isEvent()           {}
func (fleetStateReceived) isEvent()     {}
func (hostStateReceived) isEvent()      {}
func (tokensAnswered) isEvent()         {}
func (noticesReceived) isEvent()        {}
func (tokensRequested) isEvent()        {}
func (revisionAdvanced) isEvent()       {}
func (registrationConfirmed) isEvent()  {}
func (registrationLost) isEvent()       {}
func (coordinatorDialed) isEvent()      {}
func (coordinatorLinkChanged) isEvent() {}
func (reportReceived) isEvent()         {}
func (hostSessionEnded) isEvent()       {}
func (orderAnswered) isEvent()          {}
func (engineReportRead) isEvent()       {}
func (stopRequested) isEvent()          {}
func (query) isEvent()                  {}

// step is an instruction of the control state to the goroutine of a request.
type step struct {
	// target is set for an attempt, refusal for the final answer.
	target  *dispatch.Target
	attempt int
	// alternatives is the number of other upstreams that could serve the request.
	alternatives int
	// lastAttempt reports whether no other attempt may follow this one once it may have run.
	lastAttempt bool
	// limitStamp is not zero if the upstream had a request limit when the attempt was decided. It is returned with
	// what the answer states about the limit.
	limitStamp uint64
	refusal    *entity.Refusal
	reason     dispatch.Reason
	// basis is the data on which the decision was based, for the log.
	basis basis
}

// basis holds the data on which a decision was based.
type basis struct {
	// load is the estimated number of requests of all hosts at the upstream, and othersAge the age of the last
	// report about the requests of the other hosts.
	load      float64
	othersAge time.Duration
	// readyIn is the estimated time until an upstream serves the pool of the request.
	readyIn time.Duration
	// configVersion is the version of the active configuration.
	configVersion int64
	// quarantined are the quarantined traits of the request.
	quarantined []quarantine.Trait
}

// stepQueue carries the steps of the control state to the goroutine of a request.
type stepQueue struct {
	// steps has capacity for all steps that can be outstanding, so that the control state never blocks.
	steps chan step
}

func newStepQueue() *stepQueue { return &stepQueue{steps: make(chan step, 2)} }
