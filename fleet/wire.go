package fleet

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// maxMessageBytes limits the document sources in one message between daemons. The last
// document may exceed it.
const maxMessageBytes = 512 << 10

func revisionOf(object objectapi.Object, accepted time.Time) documentRevision {
	return documentRevision{Service: serviceOf(object.Key), Version: object.Version, Source: object.Value, AcceptedAt: accepted}
}

func documentToWire(r documentRevision) *fleetpb.Document {
	return &fleetpb.Document{
		Service: r.Service, Version: r.Version, Source: r.Source,
		Deleted: r.Deleted, AcceptedMs: r.AcceptedAt.UnixMilli(),
	}
}

func documentFromWire(d *fleetpb.Document) documentRevision {
	return documentRevision{
		Service: d.Service, Version: d.Version, Source: d.Source,
		Deleted: d.Deleted, AcceptedAt: time.UnixMilli(d.AcceptedMs),
	}
}

func documentsFromWire(documents []*fleetpb.Document) []documentRevision {
	revisions := make([]documentRevision, 0, len(documents))
	for _, d := range documents {
		revisions = append(revisions, documentFromWire(d))
	}
	return revisions
}

// fitMessage returns the leading revisions that fit into one message, and whether more
// remain.
func fitMessage(revisions []documentRevision) ([]*fleetpb.Document, bool) {
	var documents []*fleetpb.Document
	size := 0
	for _, r := range revisions {
		if size > maxMessageBytes {
			return documents, true
		}
		size += len(r.Source)
		documents = append(documents, documentToWire(r))
	}
	return documents, false
}

func instanceToWire(i objectapi.Instance) *fleetpb.Instance {
	return &fleetpb.Instance{
		Id: i.ID, Pool: i.Pool, Address: i.Address, PeerAddress: i.PeerAddress,
		Region: i.Region, FailureDomain: i.FailureDomain, State: string(i.State),
	}
}

func instanceFromWire(i *fleetpb.Instance) objectapi.Instance {
	return objectapi.Instance{
		ID: i.Id, Pool: i.Pool, Address: i.Address, PeerAddress: i.PeerAddress,
		Region: i.Region, FailureDomain: i.FailureDomain, State: objectapi.InstanceState(i.State),
	}
}

func completeListChange(list objectapi.InstanceSnapshot) *fleetpb.ListChange {
	change := &fleetpb.ListChange{Revision: list.Revision, Whole: true}
	for _, instance := range list.Instances {
		change.Changed = append(change.Changed, instanceToWire(instance))
	}
	return change
}

// diffLists returns the change that converts the list from into the list to.
func diffLists(from, to objectapi.InstanceSnapshot) *fleetpb.ListChange {
	old := make(map[string]objectapi.Instance, len(from.Instances))
	for _, instance := range from.Instances {
		old[instance.ID] = instance
	}
	change := &fleetpb.ListChange{Revision: to.Revision}
	for _, instance := range to.Instances {
		if previous, ok := old[instance.ID]; !ok || previous != instance {
			change.Changed = append(change.Changed, instanceToWire(instance))
		}
		delete(old, instance.ID)
	}
	for id := range old {
		change.Removed = append(change.Removed, id)
	}
	sort.Strings(change.Removed)
	return change
}

// applyListChange returns the result of applying change to from.
func applyListChange(from objectapi.InstanceSnapshot, change *fleetpb.ListChange) objectapi.InstanceSnapshot {
	instances := map[string]objectapi.Instance{}
	if !change.Whole {
		for _, instance := range from.Instances {
			instances[instance.ID] = instance
		}
	}
	for _, instance := range change.Changed {
		instances[instance.Id] = instanceFromWire(instance)
	}
	for _, id := range change.Removed {
		delete(instances, id)
	}
	to := objectapi.InstanceSnapshot{Revision: change.Revision, Instances: make([]objectapi.Instance, 0, len(instances))}
	for _, instance := range instances {
		to.Instances = append(to.Instances, instance)
	}
	sort.Slice(to.Instances, func(i, j int) bool { return to.Instances[i].ID < to.Instances[j].ID })
	return to
}

// leavingMarksToWire sends ages instead of times, because the clocks of two daemons may
// differ.
func leavingMarksToWire(marks []leavingMark, now time.Time) []*fleetpb.Mark {
	var wire []*fleetpb.Mark
	for _, mark := range marks {
		wire = append(wire, &fleetpb.Mark{Instance: mark.instance, AgeMs: now.Sub(mark.at).Milliseconds()})
	}
	return wire
}

func leavingMarksFromWire(wire []*fleetpb.Mark, now time.Time) []leavingMark {
	marks := make([]leavingMark, 0, len(wire))
	for _, mark := range wire {
		marks = append(marks, leavingMark{instance: mark.Instance, at: now.Add(-time.Duration(mark.AgeMs) * time.Millisecond)})
	}
	return marks
}
