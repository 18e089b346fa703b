package edge

import (
	"encoding/json"

	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/platform"
)

// memberEntry returns the value of the store object that announces this daemon to the others.
func (d *Daemon) memberEntry() []byte {
	value, err := json.Marshal(platform.Member{
		ID: d.settings.ID, Address: d.settings.FrontAddress, PeerAddress: d.settings.PeerAddress,
		Region: d.settings.Region, FailureDomain: d.settings.FailureDomain, Cores: d.settings.Cores,
	})
	if err != nil {
		panic(err) // not reached: strings always marshal
	}
	return value
}

// peerAddressOf returns the drpc address in a member object, "" if the object is unreadable.
func peerAddressOf(value []byte) string {
	var m platform.Member
	if json.Unmarshal(value, &m) != nil {
		return ""
	}
	return m.PeerAddress
}

// knownMembers returns the daemons with a valid member object in the mirror.
func (d *Daemon) knownMembers() []platform.Member {
	var members []platform.Member
	for _, o := range d.Mirror.Objects(platform.MemberKind) {
		if m, err := platform.DecodeMember(o.Key, o.Value); err == nil {
			members = append(members, m)
		}
	}
	return members
}

// members returns the drpc addresses of all daemons by ID, including this one.
func (d *Daemon) members() map[string]string {
	members := map[string]string{d.settings.ID: d.settings.PeerAddress}
	for _, m := range d.knownMembers() {
		members[m.ID] = m.PeerAddress
	}
	return members
}

// memberCores returns the processor time of all daemons' instances by ID, 0 where it is unknown.
func (d *Daemon) memberCores() map[string]float64 {
	cores := map[string]float64{d.settings.ID: d.settings.Cores}
	for _, m := range d.knownMembers() {
		cores[m.ID] = m.Cores
	}
	return cores
}

// peerAddresses returns the drpc addresses of the other daemons.
func (d *Daemon) peerAddresses() []string {
	var addresses []string
	for id, address := range d.members() {
		if id != d.settings.ID {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// mirrorMembers returns the daemons from which the mirror can receive changes, including this
// one. It returns the seeds until other daemons are known.
func (d *Daemon) mirrorMembers() []mirror.Member {
	self := mirror.Member{ID: d.settings.ID, Address: d.settings.PeerAddress, FailureDomain: d.settings.FailureDomain}
	members := []mirror.Member{self}
	for _, m := range d.knownMembers() {
		if m.ID != d.settings.ID {
			members = append(members, mirror.Member{ID: m.ID, Address: m.PeerAddress, FailureDomain: m.FailureDomain})
		}
	}
	if len(members) > 1 {
		return members
	}
	members = nil
	for _, seed := range d.settings.seeds() {
		if seed == self.Address {
			members = append(members, self)
		} else {
			members = append(members, mirror.Member{ID: seed, Address: seed})
		}
	}
	return members
}
