package duty

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
)

const (
	// scaleInterval is the time between two decisions on the number of replicas.
	scaleInterval = time.Second
	// unavailablePeriod is how long no replicas are ordered in a failure domain that has none to give.
	unavailablePeriod = 5 * time.Second
	// missingPeriod is how long ordered replicas may be missing, beyond their boot time, before they are
	// ordered again.
	missingPeriod = 6 * time.Second
)

// ReplicaOrder is an order for the number of replicas of a service in a failure domain.
type ReplicaOrder struct {
	Service string
	Domain  string
	Count   int
	IsSpot  bool
	Holder  string
	Token   int64
}

// Scaling are the dependencies of the orders for replicas.
type Scaling struct {
	Client   ScaleClient
	Services func() map[string]catalog.Service
	Replicas func(service string) []catalog.Replica
	// Demand returns the items of one step of each trainer by service.
	Demand func() map[string]int
}

// ScaleClient orders replicas. Reply Fenced means that a newer holder exists or that there are no
// replicas to give; the platform does not tell them apart.
type ScaleClient interface {
	OrderReplicas(ctx context.Context, order ReplicaOrder) (Reply, error)
}

// target identifies what an order is about.
type target struct{ service, domain string }

// targetState is the state of the orders for one target. It is used by Run only.
type targetState struct {
	ordered     int // last accepted order; -1 if it is not known
	orderedAt   time.Duration
	attempts    attempts
	unavailable time.Duration // no orders before
}

// scaler decides on the number of replicas. It is used by Run only.
type scaler struct {
	Scaling

	decideAt time.Duration
	peaks    map[string]*demandPeak
	targets  map[target]*targetState
}

func newScaler(deps Scaling) *scaler {
	return &scaler{Scaling: deps, peaks: map[string]*demandPeak{}, targets: map[target]*targetState{}}
}

// forget forgets the orders of an earlier time as the holder.
func (s *scaler) forget() { clear(s.targets) }

func (s *scaler) state(of target) *targetState {
	if s.targets[of] == nil {
		s.targets[of] = &targetState{ordered: -1}
	}
	return s.targets[of]
}

// decide returns the orders that are due. Orders that hold already are not repeated.
func (s *scaler) decide(now time.Duration) []ReplicaOrder {
	if now < s.decideAt {
		return nil
	}
	s.decideAt = now + scaleInterval
	var orders []ReplicaOrder
	demand := s.Demand()
	for name, service := range s.Services() {
		if service.Autoscale == nil || service.Engine == nil {
			continue
		}
		if s.peaks[name] == nil {
			s.peaks[name] = &demandPeak{}
		}
		domains := s.domains(name, service.Autoscale, now)
		wanted := wantedSpotReplicas(s.peaks[name].add(now, demand[name]), service.Engine.Slots, *service.Autoscale, domains)
		spare := s.spareReplicas(name, domains, wanted)
		for _, d := range domains {
			of := target{name, d.name}
			if wanted[d.name] < s.current(of, d) {
				lost := max(min(d.spot, s.current(of, d))-wanted[d.name], 0)
				if lost > spare {
					continue
				}
				spare -= lost
			}
			if s.isDue(of, wanted[d.name], d, service.Autoscale.BootTime, now) {
				orders = append(orders, ReplicaOrder{Service: name, Domain: d.name, Count: wanted[d.name], IsSpot: true})
			}
		}
	}
	slices.SortFunc(orders, func(a, b ReplicaOrder) int { return a.Count - b.Count }) // what is given up first
	return orders
}

// current returns the number of spot replicas that were ordered in a domain, or that serve there if no
// order is known.
func (s *scaler) current(of target, d domainState) int {
	if ordered := s.state(of).ordered; ordered >= 0 {
		return ordered
	}
	return d.spot
}

// spareReplicas returns how many spot replicas serve beyond those that are wanted in all domains together.
// No others are given up: a domain that refuses orders now and then would otherwise cause the replicas in
// the others to be given up each time it is asked, and ordered again after its refusal.
func (s *scaler) spareReplicas(service string, domains []domainState, wanted map[string]int) int {
	spare := 0
	for _, d := range domains {
		spare += min(d.spot, s.current(target{service, d.name}, d)) - wanted[d.name]
	}
	return spare
}

// isDue reports whether an order for a number of replicas has to be sent.
func (s *scaler) isDue(of target, wanted int, d domainState, bootTime, now time.Duration) bool {
	state := s.state(of)
	switch {
	case d.unavailable || !state.attempts.due(now):
		return false
	case state.ordered < 0:
		return wanted != d.spot
	case wanted != state.ordered:
		return true
	}
	return d.spot < wanted && now-state.orderedAt > bootTime+missingPeriod
}

// domains returns the state of a service's replicas by failure domain, ordered by name.
func (s *scaler) domains(service string, scale *catalog.Autoscale, now time.Duration) []domainState {
	byName := map[string]*domainState{}
	for name, price := range scale.Prices {
		byName[name] = &domainState{name: name, price: price, unavailable: now < s.state(target{service, name}).unavailable}
	}
	for _, r := range s.Replicas(service) {
		d := byName[r.FailureDomain]
		switch {
		case d == nil || r.State != catalog.Ready:
		case r.IsSpot:
			d.spot++
		default:
			d.plain++
		}
	}
	found := make([]domainState, 0, len(byName))
	for _, d := range byName {
		found = append(found, *d)
	}
	slices.SortFunc(found, func(a, b domainState) int { return cmp.Compare(a.name, b.name) })
	return found
}

// record records the answer to an order.
func (s *scaler) record(order ReplicaOrder, reply Reply, err error, now time.Duration) {
	state := s.state(target{order.Service, order.Domain})
	state.attempts.record(now, err != nil || reply != Accepted, 0)
	switch {
	case err != nil: // it may be carried out or not
		state.ordered = -1
	case reply == Accepted:
		state.ordered, state.orderedAt = order.Count, now
	case reply == Fenced:
		state.ordered, state.unavailable = -1, now+unavailablePeriod
	}
}

// scale makes one pass of the holder: it sends the orders for replicas that are due. The lease is renewed
// only if there is one.
func (m *Manager) scale(ctx context.Context) {
	if m.scaler == nil {
		return
	}
	orders := m.scaler.decide(m.clock())
	if len(orders) == 0 {
		return
	}
	m.lease.RenewInBackground(ctx)
	for _, order := range orders {
		if !m.sending.due(m.clock()) { // the usage reports share the rate of calls
			m.scaler.decideAt = m.sending.notUntil
			return
		}
		token, held := m.lease.TokenForCall()
		if !held || ctx.Err() != nil {
			return
		}
		order.Holder, order.Token = m.cfg.Self, token
		reply, err := m.scaler.Client.OrderReplicas(ctx, order)
		m.scaler.record(order, reply, err, m.clock())
		m.sending.notUntil = m.clock() + m.callSpacing()
		fields := []event.Field{
			event.F("service", order.Service), event.F("domain", order.Domain), event.F("count", order.Count),
			event.F("spot", order.IsSpot), event.F("token", token), event.F("reply", string(reply)),
		}
		if err != nil {
			fields = append(fields, event.Err(err))
		}
		m.Log.Log(event.DutyReplicasOrdered, fields...)
	}
}
