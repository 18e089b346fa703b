package edge

import (
	"cmp"
	"net"
	"syscall"
	"time"

	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/event"
)

const (
	// libraryHeadBytes is the bound of a head in net/http, which can't follow the configuration. The
	// bounds of connlimit are lower.
	libraryHeadBytes = 64 << 20
	// unusedTime is the longest time between two requests on a connection, and between two bytes of a
	// body: a client that begins a body and stops would keep its memory. Between requests, net/http closes a
	// connection earlier, after idleTimeout, unless a part of the next head came with the last request.
	unusedTime = idleTimeout + 10*time.Second
	// bodyMemoryReason counts refused request bodies beside the reasons of connlimit.
	bodyMemoryReason connlimit.Reason = "body_memory"
)

// newClientLimits returns the limits for what clients may take of this process.
func (d *Daemon) newClientLimits() (*connlimit.Limiter, *connlimit.Budget) {
	s := d.settings.Clients
	memory := int64(d.settings.MemoryMB) << 20
	limiter := connlimit.New(connlimit.Config{
		HeadMemory:     cmp.Or(int64(s.HeadMemoryMB)<<20, connlimit.HeadMemory(memory)),
		MaxConnections: cmp.Or(s.Connections, connlimit.MaxConnections(memory, maxDescriptors())),
		Bounds:         d.clientBounds,
		Refused: func(address connlimit.Address, reason connlimit.Reason, client string) {
			d.log.Log(event.EdgeClientRefused, event.F("address", string(address)), event.F("reason", string(reason)), event.F("client", client))
		},
	})
	return limiter, connlimit.NewBudget(cmp.Or(int64(s.BodyMemoryMB)<<20, connlimit.BodyMemory(memory)))
}

// Kinds of buffers that are not a client's; each has a budget of its own.
const (
	responseBuffers = "responses" // bodies of responses before their first byte is sent
	textBuffers     = "texts"     // unfinished completions of items
	answerBuffers   = "answers"   // of the store, while they are read
)

// newBufferBudget returns the budget of one kind of buffer.
func (d *Daemon) newBufferBudget(kind string) *connlimit.Budget {
	budget := connlimit.NewBudget(connlimit.BufferMemory(int64(d.settings.MemoryMB) << 20))
	d.buffers[kind] = budget
	return budget
}

// heldBytes returns the bytes held now by kind of buffer.
func (d *Daemon) heldBytes() map[string]int64 {
	held := map[string]int64{"bodies": d.bodies.Used()}
	for kind, budget := range d.buffers {
		held[kind] = budget.Used()
	}
	return held
}

// clientBounds returns the bounds of one connection that are in force.
func (d *Daemon) clientBounds(address connlimit.Address) connlimit.Bounds {
	bounds := connlimit.Bounds{
		HeadBytes: int64(cmp.Or(d.settings.Clients.HeadBytes, defaultHeadBytes)),
		HeadTime:  cmp.Or(d.settings.Clients.HeadTime, defaultHeadTime),
	}
	switch address {
	case connlimit.Peer:
		bounds.FirstOnly = true // later messages of a daemon may be as large as drpc allows
		return bounds
	case connlimit.Front:
		if c := d.configuration.Load(); c != nil {
			bounds = bounds.Within(int64(c.Limits.MaxHeaderBytes), c.Limits.HeaderTimeout)
		}
	}
	bounds.IdleTime = unusedTime
	return bounds
}

// refusedClients returns the number of refusals by reason.
func (d *Daemon) refusedClients() map[connlimit.Reason]int64 {
	counts := d.clients.Counts()
	counts[bodyMemoryReason] = d.bodies.Refused()
	return counts
}

// maxDescriptors returns the number of descriptors that this process may open, 0 if it is unknown.
func maxDescriptors() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}

// limited returns the listeners with limited connections.
func (l listeners) limited(limiter *connlimit.Limiter) listeners {
	limit := func(inner net.Listener, address connlimit.Address) net.Listener {
		if inner == nil {
			return nil
		}
		return limiter.Listener(inner, address)
	}
	return listeners{
		front: limit(l.front, connlimit.Front), ready: limit(l.ready, connlimit.Ready),
		peer: limit(l.peer, connlimit.Peer), metric: limit(l.metric, connlimit.Metric),
	}
}
