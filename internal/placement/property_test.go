package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// fault is a fault or a change of the simulation; arg selects the host, engine, duration or number of requests.
type fault struct {
	name  string
	apply func(s *sim, arg int)
}

func (s *sim) host(arg int) *simHost { return s.hosts[arg%len(s.hosts)] }

var faults = []fault{
	{"none", func(s *sim, arg int) {}},
	{"demand", (*sim).changeDemand},
	{"demand", (*sim).changeDemand},
	{"demand", (*sim).changeDemand},
	{"running requests", func(s *sim, arg int) { s.engines[arg%len(s.engines)].running[modelName(arg%5)] = arg % 3 }},
	{"terminate host", func(s *sim, arg int) {
		if h := s.host(arg); h.up {
			h.terminate()
		}
	}},
	{"restart host", func(s *sim, arg int) {
		if h := s.host(arg); !h.up {
			h.start(Policy{})
		}
	}},
	{"confirm end of host", func(s *sim, arg int) {
		h := s.host(arg)
		if h.up {
			return
		}
		inc := h.rec.Incarnation
		s.viewChanges = append(s.viewChanges, func(to *simHost) { to.p.ConfirmProcessEnded(h.rec.ID, inc, s.now) })
	}},
	{"pause host", func(s *sim, arg int) {
		h := s.host(arg)
		h.paused = true
		s.after(time.Duration(arg)*40*time.Millisecond, func() { h.paused = false })
	}},
	{"freeze view", func(s *sim, arg int) { s.host(arg).viewFrozen = true }},
	{"partition", func(s *sim, arg int) {
		s.host(arg).partitioned = true
		s.publishHosts()
	}},
	{"heal", func(s *sim, arg int) {
		s.host(arg).viewFrozen, s.host(arg).partitioned = false, false
		s.publishHosts()
	}},
	{"key-value service down", func(s *sim, arg int) {
		s.kvDown = true
		s.after(time.Duration(arg)*20*time.Millisecond, func() { s.kvDown = false })
	}},
	{"engine restart", func(s *sim, arg int) {
		e := s.engines[arg%len(s.engines)]
		e.restart(!e.rec.ChecksFence)
	}},
	{"engine leaves", func(s *sim, arg int) {
		left := 0
		for _, e := range s.engines {
			if e.leaving {
				left++
			}
		}
		if e := s.engines[arg%len(s.engines)]; !e.leaving && left < 2 {
			e.leave(time.Duration(5+arg/50) * time.Second)
		}
	}},
}

// changeDemand gives one host new random demand for five models.
func (s *sim) changeDemand(arg int) {
	h := s.host(arg)
	h.demand = nil
	for i := range 5 {
		d := wire.ModelDemand{Model: modelName(i), OldestDeadline: 20 * time.Second}
		switch s.rng.IntN(5) {
		case 0:
			d.WaitingInteractive = s.rng.IntN(6)
		case 1:
			d.WaitingPatient = s.rng.IntN(12)
		case 2:
			d.Running = s.rng.IntN(4)
			d.Adapter = entity.AdapterID([]string{"", "a0", "a1", "a2"}[s.rng.IntN(4)])
		}
		h.demand = append(h.demand, d)
	}
}

// heal ends all faults and gives every host a fixed demand.
func (s *sim) heal() {
	s.faulty = false
	s.kvDown = false
	for i, h := range s.hosts {
		if !h.up {
			h.start(Policy{})
		}
		h.viewFrozen, h.partitioned, h.paused = false, false, false
		h.demand = nil
		for m := range 5 {
			d := wire.ModelDemand{Model: modelName(m)}
			if m < 2 {
				d.WaitingInteractive = 2
				d.OldestDeadline = time.Minute
			}
			h.demand = append(h.demand, d)
		}
		if i == 0 {
			h.demand = append(h.demand, wire.ModelDemand{Model: "m0", Adapter: "a0", WaitingInteractive: 1, OldestDeadline: time.Minute})
		}
	}
	s.publishHosts()
}

// TestSafetyUnderFaults guards against more replicas than decided and against overcommitted memory while random faults
// happen, and against demand that gets no replicas after the faults have ended.
func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := testSite(5, 1500)
		site.Placement.IdleMillis = 8000
		site.Placement.HoldMillis = 2000
		s := newSim(rapid.Uint64().Draw(t, "seed"), site)
		for range rapid.IntRange(2, 4).Draw(t, "hosts") {
			s.addHost(Policy{})
		}
		for i := range 6 {
			s.addEngine(engineRecord(i, 40, rapid.Bool().Draw(t, "checks fence")))
		}
		s.faulty = true
		for range rapid.IntRange(5, 30).Draw(t, "actions") {
			f := rapid.SampledFrom(faults).Draw(t, "fault")
			arg := rapid.IntRange(0, 500).Draw(t, "arg")
			f.apply(s, arg)
			s.runSteps(t, rapid.IntRange(1, 150).Draw(t, "steps"))
		}
		s.heal()
		s.runSteps(t, 3000)
		for m := range 2 {
			want := min(3, (2*len(s.hosts)+3)/4)
			if got := s.ready(modelName(m), ""); got < want {
				t.Fatalf("%s has %d ready replicas at the end, want %d\n%s", modelName(m), got, want, s.dump())
			}
		}
		if s.ready("m0", "a0") == 0 {
			t.Fatalf("adapter a0 of m0 is not ready at the end\n%s", s.dump())
		}
	})
}

// runSteps runs the steps and checks the safety properties after each.
func (s *sim) runSteps(t *rapid.T, steps int) {
	for range steps {
		s.step()
		if err := s.check(); err != nil {
			t.Fatalf("%v\n%s", err, s.dump())
		}
	}
}

// TestSafetyWhenFencesAreForgotten guards against relying on the fencing tokens of engines that forget them
// at a restart and are therefore declared as not checking them. In this test, orders are often late and
// engines restart often.
func TestSafetyWhenFencesAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := testSite(2, 1000)
		site.Placement.IdleMillis, site.Placement.HoldMillis = 1000, 200
		s := newSim(rapid.Uint64().Draw(t, "seed"), site)
		s.lateProbability = 0.5
		forget := rapid.Bool().Draw(t, "engines forget fences")
		for range 2 {
			s.addHost(Policy{})
		}
		for i := range 2 {
			s.addEngine(engineRecord(i, 10, !forget)).checksFence = true
		}
		s.faulty = true
		for range rapid.IntRange(5, 30).Draw(t, "actions") {
			arg := rapid.IntRange(0, 500).Draw(t, "arg")
			switch rapid.IntRange(0, 2).Draw(t, "fault") {
			case 0:
				s.changeDemand(arg)
			case 1:
				s.engines[arg%2].restart(forget)
			}
			s.runSteps(t, rapid.IntRange(1, 300).Draw(t, "steps"))
		}
		// The lost orders of a process count as in flight until the process has ended; then the memory must
		// be freed.
		for _, h := range s.hosts {
			h.terminate()
		}
		for _, e := range s.engines {
			e.restart(forget)
		}
		s.heal()
		for _, h := range s.hosts {
			h.demand = []wire.ModelDemand{{Model: "m0", WaitingInteractive: 1}, {Model: "m1", WaitingInteractive: 1}}
		}
		s.runSteps(t, 1500)
		if s.ready("m0", "") == 0 || s.ready("m1", "") == 0 {
			t.Fatalf("a model is not ready after the faults, although no order is in flight\n%s", s.dump())
		}
	})
}
