package raft

import (
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// configuration is a membership that is in force from index on. It takes effect when its entry is appended to the log, not
// when the entry is committed (thesis 4.1).
type configuration struct {
	index      uint64
	membership *schemav1.Membership
}

// configurationHistory holds the configurations from the snapshot to the end of the log, in order, so that the previous one
// is in force again after the log is truncated. It is never empty.
type configurationHistory []configuration

func (m configurationHistory) current() configuration { return m[len(m)-1] }

// at returns the membership that is in force at index.
func (m configurationHistory) at(index uint64) *schemav1.Membership {
	for i := len(m) - 1; i > 0; i-- {
		if m[i].index <= index {
			return m[i].membership
		}
	}
	return m[0].membership
}

// truncate drops the configurations from index on, except the one of the snapshot.
func (m configurationHistory) truncate(index uint64) configurationHistory {
	for len(m) > 1 && m.current().index >= index {
		m = m[:len(m)-1]
	}
	return m
}

// compact drops the configurations before the one that is in force at index.
func (m configurationHistory) compact(index uint64) configurationHistory {
	for len(m) > 1 && m[1].index <= index {
		m = m[1:]
	}
	return slices.Clone(m)
}

// append adds the configuration that results from entry if it is a membership change. It returns *ConfigError if the entry
// cannot be decoded.
func (m configurationHistory) append(entry *schemav1.Entry) (configurationHistory, error) {
	if entry.GetType() != schemav1.EntryType_ENTRY_TYPE_MEMBERSHIP {
		return m, nil
	}
	change := &schemav1.MembershipChange{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return nil, &ConfigError{"cannot decode membership entry: " + err.Error()}
	}
	return append(m, configuration{entry.GetIndex(), applyChange(m.current().membership, change)}), nil
}

// applyChange returns a copy of membership with change applied.
func applyChange(membership *schemav1.Membership, change *schemav1.MembershipChange) *schemav1.Membership {
	next := &schemav1.Membership{}
	id := change.GetMember().GetId()
	for _, member := range membership.GetMembers() {
		if member.GetId() != id {
			next.Members = append(next.Members, member)
			continue
		}
		if change.GetKind() == schemav1.MembershipChange_KIND_PROMOTE {
			next.Members = append(next.Members, &schemav1.Member{Id: id, Address: member.GetAddress()})
		}
	}
	if change.GetKind() == schemav1.MembershipChange_KIND_ADD_LEARNER {
		next.Members = append(next.Members,
			&schemav1.Member{Id: id, Address: change.GetMember().GetAddress(), Learner: true})
	}
	return next
}

func findMember(membership *schemav1.Membership, id uint64) *schemav1.Member {
	for _, member := range membership.GetMembers() {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

func isVoter(membership *schemav1.Membership, id uint64) bool {
	member := findMember(membership, id)
	return member != nil && !member.GetLearner()
}

// quorumValue returns the highest value that a majority of the voters has reached, or 0 if there are no voters.
func quorumValue(membership *schemav1.Membership, value func(id uint64) uint64) uint64 {
	var values []uint64
	for _, member := range membership.GetMembers() {
		if !member.GetLearner() {
			values = append(values, value(member.GetId()))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// hasQuorum reports whether holds is true for a majority of the voters.
func hasQuorum(membership *schemav1.Membership, holds func(id uint64) bool) bool {
	return quorumValue(membership, func(id uint64) uint64 {
		if holds(id) {
			return 1
		}
		return 0
	}) == 1
}
