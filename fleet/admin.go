package fleet

import (
	"context"
	"strconv"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// applyTimeout limits Apply, including the read-back after a lost response.
const applyTimeout = 10 * time.Second

// Apply implements DocumentAdmin.
func (m *Manager) Apply(ctx context.Context, source []byte, version int64) (document.VersionedDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	parsed, err := m.config.Parse("document", source)
	if err != nil {
		return document.VersionedDocument{}, err
	}
	object, err := m.writeDocument(ctx, documentKey(parsed.Service), source, version)
	if err != nil {
		return document.VersionedDocument{}, m.writeError(ctx, parsed.Service, version, err)
	}
	m.recordContact()
	m.documents.apply(documentRevision{Service: parsed.Service, Version: object.Version, Source: source, AcceptedAt: m.config.Now()})
	m.log.Log(event.DocumentAccepted, event.F("service", parsed.Service), event.F("version", object.Version))
	return document.VersionedDocument{Document: parsed, Version: object.Version, Source: source}, nil
}

func (m *Manager) writeDocument(ctx context.Context, key string, source []byte, version int64) (objectapi.Object, error) {
	if version == 0 {
		return objectapi.CreateConfirmed(ctx, m.store, key, source)
	}
	return objectapi.UpdateConfirmed(ctx, m.store, key, source, version)
}

// writeError returns the error of a failed write with the outcome of the change.
func (m *Manager) writeError(ctx context.Context, service string, version int64, err error) error {
	switch fault.KindOf(err) {
	case fault.Conflict:
		return m.conflictError(ctx, service, version, err)
	case fault.Ambiguous:
		return fault.Wrap(err, fault.Ambiguous, "the change of "+service+" may have been applied", "read the document before trying again")
	case fault.Unavailable, fault.Overloaded:
		return fault.Wrap(err, fault.KindOf(err), "the change of "+service+" was not applied",
			"the documents in force are unchanged; try again when the platform answers", fault.WithOutcome(fault.NotRun))
	}
	return err
}

// conflictError returns an error that names the current version and the version that the
// change was based on.
func (m *Manager) conflictError(ctx context.Context, service string, version int64, cause error) error {
	current := "another version"
	if object, err := m.store.Get(ctx, documentKey(service)); err == nil {
		current = "version " + strconv.FormatInt(object.Version, 10)
	} else if fault.Is(err, fault.NotFound) {
		current = "deleted (version 0)"
	}
	return fault.Wrap(cause, fault.Conflict,
		"the document of "+service+" is "+current+" and the change was made on version "+strconv.FormatInt(version, 10),
		"read the document, repeat the change on it and apply it with that version", fault.WithOutcome(fault.NotRun))
}

// Get implements DocumentAdmin. While the platform is unavailable it returns the document in force
// on this daemon.
func (m *Manager) Get(ctx context.Context, service string) (document.VersionedDocument, error) {
	object, err := m.store.Get(ctx, documentKey(service))
	if fault.Is(err, fault.Unavailable) {
		if held, ok := m.Document(service); ok {
			return held, nil
		}
	}
	if err != nil {
		return document.VersionedDocument{}, fault.Wrap(err, fault.KindOf(err), "the document of "+service+" can't be read",
			fault.RemedyOf(err), fault.WithOutcome(fault.NotRun))
	}
	m.recordContact()
	parsed, err := m.config.Parse(service, object.Value)
	if err != nil {
		return document.VersionedDocument{}, err
	}
	return document.VersionedDocument{Document: parsed, Version: object.Version, Source: object.Value}, nil
}
