package fleet

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// The model consists of a store with a history and of daemons that read documents from the
// store and from each other in any order, with lost messages and restarts.
const (
	modelDaemons  = 4
	modelServices = 3
)

// operation is one generated event of the model. Kind determines the meaning of A, B and
// Service.
type operation struct {
	Kind, A, B, Service int
}

const (
	opWrite   = iota // an operator writes a document
	opDelete         // an operator deletes a document
	opAccept         // daemon A writes a document and puts it in force at once
	opList           // daemon A lists the store
	opWatch          // daemon A receives the next change of its watch
	opUpdate         // daemon B receives an update on its open stream
	opStream         // daemon B opens a stream to daemon A
	opFetch          // daemon B fetches from daemon A
	opRestart        // daemon A restarts with empty state
	opKinds
)

type stream struct {
	from  int
	state receiverState
}

type model struct {
	revision       int64
	history        []documentRevision
	current        map[string]documentRevision
	daemons        []*Manager
	watchedChanges []int // number of history changes delivered by each daemon's watch, -1 before the first list
	streams        []*stream
	lastVersions   []map[string]int64
	reverted       bool
}

func newModel() *model {
	m := &model{current: map[string]documentRevision{}}
	for i := range modelDaemons {
		m.daemons = append(m.daemons, nil)
		m.watchedChanges = append(m.watchedChanges, -1)
		m.streams = append(m.streams, nil)
		m.lastVersions = append(m.lastVersions, nil)
		m.restart(i)
	}
	return m
}

func (m *model) restart(i int) {
	m.daemons[i] = NewManager(Config{Self: Member{ID: fmt.Sprint("d", i)}, Parse: testParse}, nil, nil, nil, nil)
	m.watchedChanges[i], m.streams[i], m.lastVersions[i] = -1, nil, map[string]int64{}
	for _, s := range m.streams {
		if s != nil && s.from == i {
			s.from = -1
		}
	}
}

func (m *model) write(service int, deleted bool) documentRevision {
	m.revision++
	name := fmt.Sprint("svc", service)
	r := documentRevision{Service: name, Version: m.revision, Deleted: deleted}
	if !deleted {
		r.Source = []byte(fmt.Sprint(name, " ", m.revision))
	}
	m.history = append(m.history, r)
	m.current[name] = r
	return r
}

func (m *model) list(i int) {
	var names []string
	var revisions []documentRevision
	for name, r := range m.current {
		if !r.Deleted {
			names, revisions = append(names, name), append(revisions, r)
		}
	}
	m.daemons[i].documents.applyComplete(names, revisions, m.revision, time.Time{})
	m.watchedChanges[i] = len(m.history)
}

func (m *model) open(from, to int) {
	head := m.daemons[to].documents.head()
	m.streams[to] = &stream{from: from, state: receiverState{manager: m.daemons[from], sentVersion: head, sentAhead: map[string]int64{}}}
}

func (m *model) update(to int) {
	s := m.streams[to]
	if s == nil || s.from < 0 {
		return
	}
	update := &fleetpb.Update{}
	s.state.addDocuments(update)
	m.daemons[to].applyDocuments(update.Documents, update.Whole, update.AsOf)
}

func (m *model) fetch(from, to int) {
	response, _ := (&rpcServer{manager: m.daemons[from]}).Fetch(context.Background(), &fleetpb.FetchRequest{After: m.daemons[to].documents.head()})
	m.daemons[to].applyDocuments(response.Documents, response.Whole, response.AsOf)
}

func (m *model) apply(op operation) {
	a, b := op.A, op.B
	switch op.Kind {
	case opWrite:
		m.write(op.Service, false)
	case opDelete:
		if r, ok := m.current[fmt.Sprint("svc", op.Service)]; ok && !r.Deleted {
			m.write(op.Service, true)
		}
	case opAccept:
		m.daemons[a].documents.apply(m.write(op.Service, false))
	case opList:
		m.list(a)
	case opWatch:
		if next := m.watchedChanges[a]; next >= 0 && next < len(m.history) {
			m.daemons[a].documents.applyAll(m.history[next:next+1], m.history[next].Version)
			m.watchedChanges[a]++
		}
	case opUpdate:
		m.update(b)
	case opStream:
		m.open(a, b)
	case opFetch:
		m.fetch(a, b)
	case opRestart:
		m.restart(a)
	}
	m.checkReverts()
}

// checkReverts sets reverted if a version in force decreased since the start of a daemon.
func (m *model) checkReverts() {
	for i, d := range m.daemons {
		for name, e := range d.documents.entries {
			if e.inForce.Version < m.lastVersions[i][name] {
				m.reverted = true
			}
			m.lastVersions[i][name] = e.inForce.Version
		}
	}
}

// converges reports whether every daemon has the current documents after daemon 0 reads
// the store and each of the others receives one update from it.
func (m *model) converges() bool {
	m.list(0)
	for i := 1; i < modelDaemons; i++ {
		m.open(0, i)
		m.update(i)
	}
	for _, d := range m.daemons {
		for name, r := range m.current {
			held, ok := d.Document(name)
			if ok == r.Deleted || ok && held.Version != r.Version {
				return false
			}
		}
	}
	return true
}

func TestDocumentInForceNeverReverts(t *testing.T) {
	operations := gen.SliceOfN(120, gen.Struct(reflect.TypeOf(operation{}), map[string]gopter.Gen{
		"Kind": gen.IntRange(0, opKinds-1), "A": gen.IntRange(0, modelDaemons-1),
		"B": gen.IntRange(0, modelDaemons-1), "Service": gen.IntRange(0, modelServices-1),
	}))
	parameters := gopter.DefaultTestParametersWithSeed(19)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("no daemon reverts and all converge", prop.ForAll(func(operations []operation) string {
		m := newModel()
		for _, op := range operations {
			m.apply(op)
		}
		switch converged := m.converges(); {
		case m.reverted:
			return "a daemon reverted"
		case !converged:
			return "daemons did not converge"
		}
		return ""
	}, operations))
	properties.TestingRun(t)
}
