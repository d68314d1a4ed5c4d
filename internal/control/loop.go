package control

import (
	"context"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// tickInterval is the interval between two ticks, and so the maximum delay, on a host that is not idle, of
	// a decision that depends only on time.
	tickInterval = 10 * time.Millisecond
	// idleInterval replaces tickInterval on an idle host, where a tick every tickInterval would cost more than
	// all of the host's control messages.
	idleInterval = 50 * time.Millisecond
	// idleAfter is the time after the last event when a host without requests counts as idle.
	idleAfter = 200 * time.Millisecond
	// eventQueueSize limits the events that wait for the control goroutine; senders block when it is reached.
	eventQueueSize = 8192
)

// Effects carries out the commands that have effects outside the control state. Its methods are called on the
// control goroutine. They must not block there and must not call Loop.Send there, because Send can wait for the
// control goroutine; they send results as events from another goroutine.
type Effects interface {
	SendPeer(to entity.HostID, m wire.Message)
	WriteRecords(id uint64, txn kvstore.Txn)
	SendOrder(addr string, o command.SendOrder)
}

// Loop runs a Core on one goroutine.
type Loop struct {
	core    *Core
	effects Effects
	events  chan Event
	done    chan struct{}
}

// NewLoop returns a loop that is not running yet. It accepts events before Run is called.
func NewLoop(core *Core, effects Effects) *Loop {
	return &Loop{core: core, effects: effects, events: make(chan Event, eventQueueSize), done: make(chan struct{})}
}

// Send queues an event for the control goroutine. It blocks while the queue is full, and drops the event
// if the loop has ended.
func (l *Loop) Send(e Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// Query runs f on the control goroutine and waits until f returns. It returns false if the loop ends before f
// has returned.
func (l *Loop) Query(f func(c *Core, now time.Time)) bool {
	finished := make(chan struct{})
	l.Send(Query{Run: func(c *Core, now time.Time) {
		f(c, now)
		close(finished)
	}})
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	}
}

// Run handles events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	interval := tickInterval
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			last = l.handle(e)
			if interval != tickInterval {
				interval = tickInterval
				timer.Reset(interval)
			}
		case <-timer.C:
			now := l.handle(Tick{})
			interval = tickInterval
			if l.core.RequestCount() == 0 && now.Sub(last) > idleAfter {
				interval = idleInterval
			}
			timer.Reset(interval)
		}
	}
}

// handle processes one event and executes the commands that result. It reads the clock only after the event has
// been received: the process may have been paused while it waited for the event, and in the meantime its right to
// use its shares of the limits may have ended.
func (l *Loop) handle(e Event) time.Time {
	now := time.Now()
	for _, c := range l.core.Handle(e, now) {
		l.execute(c)
	}
	return now
}

func (l *Loop) execute(c command.Command) {
	switch c := c.(type) {
	case command.SendPeer:
		l.effects.SendPeer(c.To, c.Message)
	case command.WriteRecords:
		l.effects.WriteRecords(c.ID, c.Txn)
	case command.SendOrder:
		l.effects.SendOrder(l.core.Addr(c.Upstream), c)
	}
}
