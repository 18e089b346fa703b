// Package connlimit limits what clients that keep to no limits may take of a process: the bytes and
// the time of a request head, the memory of all unfinished heads, the number of open connections,
// and the memory of request bodies. decide.go holds the decisions, without any I/O.
package connlimit

import (
	"maps"
	"sync"
	"time"
)

// Reason is why a client was refused.
type Reason string

// The reasons.
const (
	HeadBytes       Reason = "head_bytes"  // a head over the bound of its connection
	HeadTime        Reason = "head_time"   // a head not complete in time
	IdleTime        Reason = "idle_time"   // no request on a connection for too long
	UnfinishedHeads Reason = "head_memory" // the most unfinished bytes when all heads were over their bound
	Connections     Reason = "connections" // the longest idle when too many connections were open
	AllBusy         Reason = "all_busy"    // a new connection when all open ones had a running request
)

// Config configures a Limiter.
type Config struct {
	HeadMemory     int64 // of all unfinished heads
	MaxConnections int   // of all addresses
	// Bounds returns the bounds of a connection at an address that are in force. It must not block.
	Bounds func(Address) Bounds
	// Refused is called for each refusal. It must not block and may be nil.
	Refused func(address Address, reason Reason, client string)
}

// Limiter limits the connections of one process. Its methods are safe for concurrent use.
type Limiter struct {
	config Config

	mu      sync.Mutex
	conns   map[Address]map[*Conn]struct{}
	charged int64 // sum of the charges of all connections
	refused map[Reason]int64

	// candidates and loads are reused by choose: when thousands of clients connect at once, new ones would be
	// most of the garbage of the process.
	candidates []*Conn
	loads      []Load
}

// New returns a Limiter. Run must be called for the bounds of time.
func New(config Config) *Limiter {
	return &Limiter{config: config, conns: map[Address]map[*Conn]struct{}{}, refused: map[Reason]int64{}}
}

// Counts returns the number of refusals by reason.
func (l *Limiter) Counts() map[Reason]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := maps.Clone(l.refused)
	for _, reason := range []Reason{HeadBytes, HeadTime, IdleTime, UnfinishedHeads, Connections, AllBusy} {
		counts[reason] += 0
	}
	return counts
}

// add registers a new connection and closes another one of the address if there are too many. It
// reports false if the new one must be closed.
func (l *Limiter) add(c *Conn) bool {
	l.mu.Lock()
	if l.conns[c.address] == nil {
		l.conns[c.address] = map[*Conn]struct{}{}
	}
	var victim *Conn
	accepted := true
	if len(l.conns[c.address]) >= share(l.config.MaxConnections, c.address) {
		if victim = l.choose(longestIdle, c.address); victim == nil {
			accepted = false
		} else {
			l.drop(victim, Connections)
		}
	}
	if accepted {
		l.conns[c.address][c] = struct{}{}
	} else {
		l.refused[AllBusy]++
	}
	l.mu.Unlock()
	if victim != nil {
		l.end(victim, Connections)
	}
	if !accepted {
		l.report(c, AllBusy)
	}
	return accepted
}

// choose returns the connection that decide selects among those of the addresses, nil for none. It
// is called with l.mu held.
func (l *Limiter) choose(decide func([]Load) int, addresses ...Address) *Conn {
	l.candidates, l.loads = l.candidates[:0], l.loads[:0]
	defer func() { clear(l.candidates) }() // closed connections must not stay in memory
	for _, address := range addresses {
		for c := range l.conns[address] {
			l.candidates, l.loads = append(l.candidates, c), append(l.loads, c.load)
		}
	}
	if i := decide(l.loads); i >= 0 {
		return l.candidates[i]
	}
	return nil
}

// drop removes a connection and counts the refusal. It is called with l.mu held.
func (l *Limiter) drop(c *Conn, reason Reason) {
	if l.remove(c) {
		c.dropped = true
		l.refused[reason]++
	}
}

// remove is called with l.mu held. It reports false if the connection was removed before.
func (l *Limiter) remove(c *Conn) bool {
	if _, known := l.conns[c.address][c]; !known {
		return false
	}
	delete(l.conns[c.address], c)
	c.setServed()
	l.release(c)
	return true
}

// release is called with l.mu held.
func (l *Limiter) release(c *Conn) {
	l.charged -= c.load.Charge
	c.load.Charge, c.load.Raw = 0, 0
}

// end closes a dropped connection.
func (l *Limiter) end(c *Conn, reason Reason) {
	_ = c.Conn.Close()
	l.report(c, reason)
}

func (l *Limiter) report(c *Conn, reason Reason) {
	if l.config.Refused != nil {
		l.config.Refused(c.address, reason, c.RemoteAddr().String())
	}
}

// setServed is called with the limiter's lock held.
func (c *Conn) setServed() {
	if !c.load.Served {
		c.load.Served = true
		close(c.served)
	}
}

// firstHeadRoom returns how much of the first head of a connection is left within its bound, or a large
// number if no such bound applies now.
func (l *Limiter) firstHeadRoom(c *Conn) int {
	bounds := l.config.Bounds(c.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !bounds.FirstOnly || c.load.Served {
		return maxHeadRead
	}
	return int(max(bounds.HeadBytes-c.load.Raw, 0))
}

// received accounts for bytes that arrived on a connection. It reports false if the connection has
// exceeded the bound of a head and must be refused.
func (l *Limiter) received(c *Conn, size, lines int) bool {
	bounds := l.config.Bounds(c.address)
	now := time.Now()
	var victims []*Conn
	l.mu.Lock()
	c.load.LastByte = now
	if c.dropped || c.load.State == Running || c.load.State == Body || (bounds.FirstOnly && c.load.Served) {
		l.mu.Unlock()
		return true
	}
	if c.load.State == Waiting {
		c.load.State, c.load.Began = Head, now
	}
	charge := headCharge(size, lines)
	c.load.Raw += int64(size)
	c.load.Charge += charge
	l.charged += charge
	if exceedsHead(c.load, bounds) {
		l.drop(c, HeadBytes)
		l.mu.Unlock()
		l.report(c, HeadBytes)
		return false
	}
	for l.charged > l.config.HeadMemory {
		victim := l.choose(largestUnfinished, Front, Ready, Metric, Peer)
		if victim == nil {
			break
		}
		l.drop(victim, UnfinishedHeads)
		victims = append(victims, victim)
	}
	l.mu.Unlock()
	for _, victim := range victims {
		l.end(victim, UnfinishedHeads)
	}
	return true
}

// setState records what a connection is doing from now on.
func (l *Limiter) setState(c *Conn, state State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.dropped {
		return
	}
	c.load.State, c.load.LastByte = state, time.Now()
	c.setServed()
	if state == Waiting || state == Running {
		l.release(c)
	}
}

// closeExpired closes the connections whose time has passed.
func (l *Limiter) closeExpired(now time.Time) {
	type closing struct {
		conn   *Conn
		reason Reason
	}
	var found []closing
	l.mu.Lock()
	for address, conns := range l.conns {
		bounds := l.config.Bounds(address)
		for c := range conns {
			if reason := expired(c.load, bounds, now); reason != "" {
				l.drop(c, reason)
				found = append(found, closing{c, reason})
			}
		}
	}
	l.mu.Unlock()
	for _, f := range found {
		l.end(f.conn, f.reason)
	}
}
