package connlimit

import "time"

// State is what a connection is doing.
type State int

// The states. Only a connection that is Running is never closed to make room: its request may
// already run at a replica.
const (
	Waiting State = iota // no byte of the next request has arrived
	Head                 // a head is incomplete
	Body                 // the head is complete, the body is not
	Running              // the request is complete and its response is not
)

// Load is what a connection costs the process.
type Load struct {
	State    State
	Served   bool      // a request was received on the connection before, or the connection was removed
	Raw      int64     // bytes of the unfinished head as received
	Charge   int64     // memory that the unfinished request's head takes
	LastByte time.Time // when the last byte arrived, or the connection was opened, or its last request ended
	Began    time.Time // when the first byte of the unfinished head arrived, or the connection was opened
}

// Bounds apply to a single connection.
type Bounds struct {
	HeadBytes int64
	HeadTime  time.Duration // until a head is complete
	IdleTime  time.Duration // without a byte of a body or between two requests; 0 for no bound
	FirstOnly bool          // the bounds of a head apply only to the first one of a connection
}

// lineCharge is added to the charge of a head for each line. A parsed header line takes about 100
// bytes beside its text: 16 KB of lines of 6 bytes took 260 KB.
const lineCharge = 128

// headCharge returns the memory that a part of a head takes, parsed.
func headCharge(size, lines int) int64 { return int64(size) + int64(lines)*lineCharge }

// exceedsHead reports whether a head has too many bytes. It answers clients whose head is over the
// limit or never ends.
func exceedsHead(l Load, b Bounds) bool {
	return l.State == Head && l.Raw > b.HeadBytes && !(b.FirstOnly && l.Served)
}

// expired returns the reason for which a connection must be closed at a time, "" for none. It
// answers clients that send their head slowly, send nothing, or begin a body and stop.
func expired(l Load, b Bounds, now time.Time) Reason {
	switch {
	case l.State == Head && !(b.FirstOnly && l.Served) && now.Sub(l.Began) > b.HeadTime,
		l.State == Waiting && !l.Served && now.Sub(l.Began) > b.HeadTime:
		return HeadTime
	case (l.State == Body || (l.State == Waiting && l.Served)) && b.IdleTime > 0 && now.Sub(l.LastByte) > b.IdleTime:
		return IdleTime
	}
	return ""
}

// largestUnfinished returns the index of the connection to close when unfinished heads take too
// much memory together, -1 for none. It answers many clients whose heads are each below the bound:
// an ordinary client's head is smaller than theirs.
func largestUnfinished(loads []Load) int {
	found := -1
	for i, l := range loads {
		if (l.State != Head && l.State != Body) || l.Charge == 0 {
			continue
		}
		if found < 0 || l.Charge > loads[found].Charge || (l.Charge == loads[found].Charge && l.LastByte.Before(loads[found].LastByte)) {
			found = i
		}
	}
	return found
}

// longestIdle returns the index of the connection to close when too many are open, -1 for none. It
// answers many clients that send nothing: an ordinary client sends its request at once.
func longestIdle(loads []Load) int {
	found := -1
	for i, l := range loads {
		if l.State != Running && (found < 0 || l.LastByte.Before(loads[found].LastByte)) {
			found = i
		}
	}
	return found
}

// Memory and descriptors that clients may use, as shares of what the process has.
const (
	headMemoryShare = 16 // one part of the process's memory
	connMemoryShare = 8
	// connMemory is what a connection takes without any request: two buffers and a stack.
	connMemory        = 16 << 10
	defaultHeadMemory = 16 << 20 // if no memory is set
	minHeadMemory     = 1 << 20

	defaultBufferMemory = 32 << 20 // if no memory is set
	minBufferMemory     = 4 << 20
	// Five eighths of the descriptors are for clients; the rest is for the connections to replicas,
	// to other daemons and to the store.
	descriptorPart, descriptorParts = 5, 8
	minConnections                  = 16 // for each address
)

// bufferMemoryParts: one part of the process's memory is for each kind of buffer that is not a
// client's: responses, texts of completions, answers of the store.
const bufferMemoryParts = 16

// BufferMemory returns the memory that one kind of buffer may take in a process with the given memory,
// 0 for unknown.
func BufferMemory(processMemory int64) int64 {
	if processMemory <= 0 {
		return defaultBufferMemory
	}
	return max(processMemory/bufferMemoryParts, minBufferMemory)
}

// Address is one of the addresses at which a daemon accepts connections.
type Address string

// The addresses.
const (
	Front  Address = "front"
	Ready  Address = "ready"
	Metric Address = "metric"
	Peer   Address = "peer"
)

// addressPercent is the share of all connections of clients that one address may have. The shares
// are separate so that many clients at one address close no connection of another.
var addressPercent = map[Address]int{Front: 50, Peer: 40, Ready: 5, Metric: 5}

// HeadMemory returns the memory that unfinished heads may take together in a process with the given
// memory, 0 for unknown.
func HeadMemory(processMemory int64) int64 {
	if processMemory <= 0 {
		return defaultHeadMemory
	}
	return max(processMemory/headMemoryShare, minHeadMemory)
}

// MaxConnections returns the number of connections that clients may have open in a process with the
// given memory and descriptors, each 0 for unknown.
func MaxConnections(processMemory int64, descriptors uint64) int {
	const unknown = 1 << 20
	most := uint64(unknown)
	if descriptors > 0 {
		most = min(most, descriptors*descriptorPart/descriptorParts)
	}
	if processMemory > 0 {
		most = min(most, uint64(processMemory)/connMemoryShare/connMemory)
	}
	return int(most)
}

// share returns the part of all connections that one address may have.
func share(connections int, address Address) int {
	return max(connections*addressPercent[address]/100, minConnections)
}

const (
	// headRoom is added to the configuration's MaxHeaderBytes: the library reads up to 4 KiB beyond
	// a head, and the limit may be understood without the request line.
	headRoom = 12 << 10
	// timeRoom is added to the configuration's HeaderTimeoutMs, for the time that a head is under way.
	timeRoom = 2 * time.Second
)

// Within returns bounds that no client within the configuration's limits reaches. A limit of 0 is
// none; the bound then stays.
func (b Bounds) Within(maxHeaderBytes int64, headerTimeout time.Duration) Bounds {
	if maxHeaderBytes > 0 {
		b.HeadBytes = maxHeaderBytes + headRoom
	}
	if headerTimeout > 0 {
		b.HeadTime = headerTimeout + timeRoom
	}
	return b
}
