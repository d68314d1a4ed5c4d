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
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// event is one input of the control state.
type event interface{ isEvent() }

// arrived is a request that has passed the checks of its key and route.
type requestArrived struct {
	request   *dispatch.Request
	stepQueue *stepQueue
}

// attemptEnded is the end of an attempt.
type attemptEnded struct{ result dispatch.Result }

// upstreamSaid is what an upstream said of itself in an answer.
type upstreamStatusReceived struct {
	upstream   entity.UpstreamID
	bornMillis int64
	status     dispatch.Statement
}

// callerGone is a caller that has left.
type callerLeft struct{ id entity.RequestID }

// catalogChanged puts a configuration in force.
type catalogChanged struct{ catalog *catalog.Catalog }

// upstreamsChanged are changes of the list. The rows are of this event alone.
type upstreamsChanged struct {
	put     []*fleet.Upstream
	removed []entity.UpstreamID
}

// addPut and addRemoved keep the last change of each upstream: an entry may go and come back between
// two reads.
func (e *upstreamsChanged) addPut(u *fleet.Upstream) {
	e.removed = slices.DeleteFunc(e.removed, func(id entity.UpstreamID) bool { return id == u.ID })
	e.put = append(e.put, u)
}

func (e *upstreamsChanged) addRemoved(id entity.UpstreamID) {
	e.put = slices.DeleteFunc(e.put, func(u *fleet.Upstream) bool { return u.ID == id })
	e.removed = append(e.removed, id)
}

// membersChanged are the registered hosts, and where they serve other hosts.
type membersChanged struct {
	hosts []entity.HostID
	addrs map[entity.HostID]string
}

// listAdvanced is the knowledge of all changes of the key-value service up to a revision.
type revisionAdvanced struct {
	// changes are those that mean something to hosts.
	changes  []kvstore.Event
	revision int64
	// began is when the own read began that found them, zero when the coordinator has told them.
	began time.Time
}

// registered says until when the registration of this host is certain.
type registrationConfirmed struct{ until time.Time }

// registrationLost says that the registration of this host had ended.
type registrationLost struct{}

// holderChanged names the host that has the right to give orders, nil if none.
type holderChanged struct{ holder *election.Holder }

// rightChanged is the own right to give orders, nil when it is lost.
type leaseChanged struct{ lease *election.Right }

// stateReceived, hostStateReceived and tokensAnswered are messages of the coordinator.
type fleetStateReceived struct{ state *wire.FleetState }

type hostStateReceived struct{ state *wire.HostState }

type tokensAnswered struct{ answer *wire.TokenAnswer }

// tokensAsked is a host's question for tokens to the coordinator.
type tokensRequested struct {
	request *wire.TokenAsk
	session *peer.Session
}

// coordinatorDialed is a connection to the coordinator's address on which nothing has been heard yet.
type coordinatorDialed struct{ session *peer.Session }

// coordinatorLink is a session with the coordinator that has begun, because the coordinator has answered
// on it, or ended.
type coordinatorLinkChanged struct {
	session *peer.Session
	up      bool
}

// reportReceived is a host's report to the coordinator; session is nil for the own one.
type reportReceived struct {
	report  *wire.HostReport
	session *peer.Session
}

// hostLost is a session of a host that has ended.
type hostSessionEnded struct{ session *peer.Session }

// orderAnswered is the answer to an order.
type orderAnswered struct {
	order  swap.Order
	answer swap.Answer
	took   time.Duration
}

// reportRead is the report of an engine, or the reason why there is none.
type engineReportRead struct {
	upstream entity.UpstreamID
	report   swap.Report
	err      error
}

// stopRequested begins the graceful stop.
type stopRequested struct {
	// sendBy is when the last request may be sent to an upstream.
	sendBy time.Time
}

// query runs a function with the control state.
type query struct {
	run  func(c *core, now time.Time)
	done chan struct{}
}

func (requestArrived) isEvent()         {}
func (attemptEnded) isEvent()           {}
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

// step is what the control state tells the goroutine of a request.
type step struct {
	// target is set for an attempt, refusal for the final answer.
	target  *dispatch.Target
	attempt int
	// alternatives is the number of other upstreams that could serve the request.
	alternatives int
	// last says that no attempt may follow one that may have run.
	lastAttempt bool
	refusal     *entity.Refusal
	reason      dispatch.Reason
	// seen is what the decision went by, for the log.
	basis basis
}

// seen is the knowledge that a decision went by.
type basis struct {
	load      float64
	othersAge time.Duration
	readyIn   time.Duration
	// version is the configuration in force.
	configVersion int64
}

// ticket connects the goroutine of a request with the control state.
type stepQueue struct {
	// steps has room for all steps that can be outstanding, so that the control state never blocks.
	steps chan step
}

func newStepQueue() *stepQueue { return &stepQueue{steps: make(chan step, 2)} }
