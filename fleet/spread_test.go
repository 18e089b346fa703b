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

// The model: a store with a history, and daemons that take documents from it and from
// each other in any order, with lost messages and restarts.
const (
	modelDaemons  = 4
	modelServices = 3
)

// move is one generated event of the model. What A, B and Service stand for depends
// on Kind.
type move struct {
	Kind, A, B, Service int
}

const (
	moveWrite   = iota // an operator writes a document
	moveDelete         // an operator deletes one
	moveAccept         // daemon A writes a document and puts it in force at once
	moveList           // daemon A lists the store
	moveWatch          // daemon A takes the next change of its watch
	moveUpdate         // daemon B takes an update of its stream from daemon A
	moveStream         // daemon B opens a stream to daemon A
	moveFetch          // daemon B fetches from daemon A
	moveRestart        // daemon A restarts without what it knew
	moveKinds
)

type stream struct {
	from int
	out  outbox
}

type model struct {
	revision int64
	history  []revision
	current  map[string]revision
	daemons  []*Manager
	watched  []int // changes of the history that each daemon's watch delivered, -1 before a list
	streams  []*stream
	last     []map[string]int64
	reverted bool
}

func newModel() *model {
	m := &model{current: map[string]revision{}}
	for i := range modelDaemons {
		m.daemons = append(m.daemons, nil)
		m.watched = append(m.watched, -1)
		m.streams = append(m.streams, nil)
		m.last = append(m.last, nil)
		m.restart(i)
	}
	return m
}

func (m *model) restart(i int) {
	m.daemons[i] = NewManager(Config{Self: Member{ID: fmt.Sprint("d", i)}, Parse: testParse}, nil, nil, nil, nil)
	m.watched[i], m.streams[i], m.last[i] = -1, nil, map[string]int64{}
	for _, s := range m.streams {
		if s != nil && s.from == i {
			s.from = -1
		}
	}
}

func (m *model) write(service int, deleted bool) revision {
	m.revision++
	name := fmt.Sprint("svc", service)
	r := revision{Service: name, Version: m.revision, Deleted: deleted}
	if !deleted {
		r.Source = []byte(fmt.Sprint(name, " ", m.revision))
	}
	m.history = append(m.history, r)
	m.current[name] = r
	return r
}

func (m *model) list(i int) {
	var names []string
	var revisions []revision
	for name, r := range m.current {
		if !r.Deleted {
			names, revisions = append(names, name), append(revisions, r)
		}
	}
	m.daemons[i].documents.offerWhole(names, revisions, m.revision, time.Time{})
	m.watched[i] = len(m.history)
}

func (m *model) open(from, to int) {
	head := m.daemons[to].documents.head()
	m.streams[to] = &stream{from: from, out: outbox{manager: m.daemons[from], sent: head, ahead: map[string]int64{}}}
}

func (m *model) update(to int) {
	s := m.streams[to]
	if s == nil || s.from < 0 {
		return
	}
	update := &fleetpb.Update{}
	s.out.addDocuments(update)
	m.daemons[to].applyDocuments(update.Documents, update.Whole, update.AsOf)
}

func (m *model) fetch(from, to int) {
	answer, _ := (&service{manager: m.daemons[from]}).Fetch(context.Background(), &fleetpb.FetchRequest{After: m.daemons[to].documents.head()})
	m.daemons[to].applyDocuments(answer.Documents, answer.Whole, answer.AsOf)
}

func (m *model) apply(v move) {
	a, b := v.A, v.B
	switch v.Kind {
	case moveWrite:
		m.write(v.Service, false)
	case moveDelete:
		if r, ok := m.current[fmt.Sprint("svc", v.Service)]; ok && !r.Deleted {
			m.write(v.Service, true)
		}
	case moveAccept:
		m.daemons[a].documents.offer(m.write(v.Service, false))
	case moveList:
		m.list(a)
	case moveWatch:
		if next := m.watched[a]; next >= 0 && next < len(m.history) {
			m.daemons[a].documents.offerAll(m.history[next:next+1], m.history[next].Version)
			m.watched[a]++
		}
	case moveUpdate:
		m.update(b)
	case moveStream:
		m.open(a, b)
	case moveFetch:
		m.fetch(a, b)
	case moveRestart:
		m.restart(a)
	}
	m.check()
}

// check notes a version in force that is lower than before in the daemon's life.
func (m *model) check() {
	for i, d := range m.daemons {
		for name, e := range d.documents.entries {
			if e.inForce.Version < m.last[i][name] {
				m.reverted = true
			}
			m.last[i][name] = e.inForce.Version
		}
	}
}

// settled reports whether every daemon has the current documents after daemon 0 read
// the store and the others had one update each.
func (m *model) settled() bool {
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
	moves := gen.SliceOfN(120, gen.Struct(reflect.TypeOf(move{}), map[string]gopter.Gen{
		"Kind": gen.IntRange(0, moveKinds-1), "A": gen.IntRange(0, modelDaemons-1),
		"B": gen.IntRange(0, modelDaemons-1), "Service": gen.IntRange(0, modelServices-1),
	}))
	parameters := gopter.DefaultTestParametersWithSeed(19)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("no daemon reverts and all settle", prop.ForAll(func(moves []move) string {
		m := newModel()
		for _, v := range moves {
			m.apply(v)
		}
		switch settled := m.settled(); {
		case m.reverted:
			return "a daemon reverted"
		case !settled:
			return "not settled"
		}
		return ""
	}, moves))
	properties.TestingRun(t)
}
