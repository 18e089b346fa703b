package fleet

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// maxMessageBytes bounds the documents in one message between daemons, the last
// document excepted.
const maxMessageBytes = 512 << 10

func revisionOf(object objectapi.Object, accepted time.Time) revision {
	return revision{Service: serviceOf(object.Key), Version: object.Version, Source: object.Value, Accepted: accepted}
}

func documentToWire(r revision) *fleetpb.Document {
	return &fleetpb.Document{
		Service: r.Service, Version: r.Version, Source: r.Source,
		Deleted: r.Deleted, AcceptedMs: r.Accepted.UnixMilli(),
	}
}

func documentFromWire(d *fleetpb.Document) revision {
	return revision{
		Service: d.Service, Version: d.Version, Source: d.Source,
		Deleted: d.Deleted, Accepted: time.UnixMilli(d.AcceptedMs),
	}
}

func documentsFromWire(documents []*fleetpb.Document) []revision {
	revisions := make([]revision, 0, len(documents))
	for _, d := range documents {
		revisions = append(revisions, documentFromWire(d))
	}
	return revisions
}

// batch returns the first revisions up to the size of one message, and whether there
// are more.
func batch(revisions []revision) ([]*fleetpb.Document, bool) {
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

func wholeList(list objectapi.InstanceSnapshot) *fleetpb.ListChange {
	change := &fleetpb.ListChange{Revision: list.Revision, Whole: true}
	for _, instance := range list.Instances {
		change.Changed = append(change.Changed, instanceToWire(instance))
	}
	return change
}

// listChange returns what turns one list into another.
func listChange(from, to objectapi.InstanceSnapshot) *fleetpb.ListChange {
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

// applyListChange returns the list that change makes of from.
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

// marksToWire sends ages, since the clocks of two daemons may differ.
func marksToWire(marks []mark, now time.Time) []*fleetpb.Mark {
	var wire []*fleetpb.Mark
	for _, one := range marks {
		wire = append(wire, &fleetpb.Mark{Instance: one.instance, AgeMs: now.Sub(one.at).Milliseconds()})
	}
	return wire
}

func marksFromWire(wire []*fleetpb.Mark, now time.Time) []mark {
	marks := make([]mark, 0, len(wire))
	for _, one := range wire {
		marks = append(marks, mark{instance: one.Instance, at: now.Add(-time.Duration(one.AgeMs) * time.Millisecond)})
	}
	return marks
}
