package usage

import "github.com/hornbeamtide/hornbeamtide/usage/usagepb"

// tableEncoder builds a message of counts. Each organisation's name is in the message once: the table
// of a window has counts of hundreds of daemons for the same few organisations.
type tableEncoder struct {
	message usagepb.Table
	indexes map[string]uint32
}

// add adds the counts of one process for a window.
func (e *tableEncoder) add(window int64, counter counterID, counts map[string]int64) {
	if len(counts) == 0 {
		return
	}
	if e.indexes == nil {
		e.indexes = map[string]uint32{}
	}
	encoded := &usagepb.Counts{Daemon: counter.daemon, Incarnation: counter.incarnation, Window: window}
	for organisation, count := range counts {
		index, known := e.indexes[organisation]
		if !known {
			index = uint32(len(e.message.Organisations))
			e.indexes[organisation] = index
			e.message.Organisations = append(e.message.Organisations, organisation)
		}
		encoded.Organisations = append(encoded.Organisations, index)
		encoded.Counts = append(encoded.Counts, count)
	}
	e.message.Counts = append(e.message.Counts, encoded)
}

// table returns the message.
func (e *tableEncoder) table() *usagepb.Table { return &e.message }

// decodeTable calls each with the counts of a message. Counts that the message does not describe
// completely are left out; they come from another version.
func decodeTable(message *usagepb.Table, each func(window int64, counter counterID, organisation string, count int64)) {
	names := message.GetOrganisations()
	for _, encoded := range message.GetCounts() {
		counter := counterID{daemon: encoded.Daemon, incarnation: encoded.Incarnation}
		for i, index := range encoded.Organisations {
			if i < len(encoded.Counts) && int(index) < len(names) && names[index] != "" && encoded.Counts[i] > 0 {
				each(encoded.Window, counter, names[index], encoded.Counts[i])
			}
		}
	}
}

// mergeTable merges the counts of a message that are of the given window.
func (w windowCounts) mergeTable(window int64, message *usagepb.Table) {
	decodeTable(message, func(index int64, counter counterID, organisation string, count int64) {
		if index == window {
			w.merge(counter, organisation, count)
		}
	})
}
