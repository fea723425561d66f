package quorum

import (
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// formation tracks the peers with which a new group can be formed and the hosts that ask to join the group.
type formation struct {
	unformedPeers map[string]NodeID        // node IDs, by host, of the peers that belong to no group yet
	groupExists   bool                     // a peer already belongs to a group, so no new group may be formed
	candidates    map[string]joinCandidate // by host
	groupHosts    []string                 // hosts of the group's members, as the last member that answered named them
	announcedAt   unit.Moment
}

// joinCandidate is a host that asks to join the group.
type joinCandidate struct {
	id          NodeID
	requestedAt unit.Moment // when the host last announced itself
}

// joinRequestLifetime is how long after its last announcement a host may still be added. A host announces itself once per
// heartbeat interval; adding one that has failed in the meantime would create a member that never catches up.
const joinRequestLifetime = 2 * time.Second

func newFormation() formation {
	return formation{unformedPeers: map[string]NodeID{}, candidates: map[string]joinCandidate{}}
}

// joinCandidateID returns the node ID with which host asks to join, or false if it hasn't asked within joinRequestLifetime.
func (n *Node) joinCandidateID(host string) (NodeID, bool) {
	c, ok := n.formation.candidates[host]
	return c.id, ok && n.now.Sub(c.requestedAt) <= joinRequestLifetime
}

// tickFormation announces the node to its peers and forms the group once every peer has announced itself with an empty
// disk. Only the peer whose name sorts first forms the group, so that there is only one initial configuration.
func (n *Node) tickFormation() {
	f := &n.formation
	if !n.cfg.Join && len(n.cfg.Peers) > 0 && !f.groupExists && slices.Min(n.cfg.Peers) == n.cfg.Self.Host() &&
		n.allPeersAnnounced() {
		n.formGroup()
		return
	}
	if f.announcedAt != 0 && n.now.Sub(f.announcedAt) < n.cfg.HeartbeatInterval {
		return
	}
	n.announce()
}

// announceWithoutLeader announces a node that hears no leader of its group. It may have been removed while it was down or cut off, and
// then asks to join again.
func (n *Node) announceWithoutLeader() {
	if n.now.Sub(n.leaderHeardAt) > 2*n.cfg.ElectionTimeout && n.now.Sub(n.formation.announcedAt) >= n.cfg.ElectionTimeout {
		n.announce()
	}
}

func (n *Node) announce() {
	n.formation.announcedAt = n.now
	for _, host := range n.announcementTargets() {
		n.send(Message{Kind: MessageAnnouncement, To: NewNodeID(host, "")})
	}
}

// announcementTargets returns the other hosts among the configured peers and the group's members, without repetition. The leader may
// not be among the peers.
func (n *Node) announcementTargets() []string {
	hosts := slices.Concat(n.cfg.Peers, n.formation.groupHosts, n.configuration().hosts())
	slices.Sort(hosts)
	return slices.DeleteFunc(slices.Compact(hosts), func(host string) bool { return host == n.cfg.Self.Host() })
}

func (n *Node) allPeersAnnounced() bool {
	for _, host := range n.cfg.Peers {
		if _, heard := n.formation.unformedPeers[host]; !heard && host != n.cfg.Self.Host() {
			return false
		}
	}
	return true
}

// joinCandidateHosts returns the sorted names of the hosts that ask to join and aren't members.
func (n *Node) joinCandidateHosts() []string {
	members := n.configuration().members()
	var hosts []string
	for host := range n.formation.candidates {
		if id, ok := n.joinCandidateID(host); ok && !slices.Contains(members, id) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

func (n *Node) formGroup() {
	c := Configuration{Voters: []NodeID{n.cfg.Self}}
	for _, host := range n.cfg.Peers {
		if host != n.cfg.Self.Host() {
			c.Voters = append(c.Voters, n.formation.unformedPeers[host])
		}
	}
	slices.Sort(c.Voters)
	c.Voters = slices.Compact(c.Voters)
	n.joinGroup(groupName(c), c)
}

// joinGroup makes the node a member of group and persists the group's first configuration. The node ID belongs to an empty
// disk and has never voted, so there is no vote to preserve.
func (n *Node) joinGroup(group string, c Configuration) {
	n.hardState.Group = group
	n.disk.hardStateDirty = true
	n.configs = []indexedConfiguration{{0, c}}
	n.snapshot.Configuration = c
	n.disk.pendingSnapshot = &Snapshot{Configuration: c}
	n.resetElectionTimer()
}

func (n *Node) onFormationMessage(m *Message) {
	if m.To.Host() != n.cfg.Self.Host() || m.From == n.cfg.Self {
		return
	}
	if m.Kind == MessageFormGroup {
		if n.hardState.Group == "" && m.To == n.cfg.Self && m.Group != "" && m.Configuration != nil {
			n.joinGroup(m.Group, *m.Configuration)
		}
		return
	}
	if m.Group != "" {
		n.formation.groupExists = true
		if m.Configuration != nil {
			n.formation.groupHosts = m.Configuration.hosts()
		} else if m.Group == n.hardState.Group && !slices.Contains(n.configuration().members(), m.From) {
			n.addJoinCandidate(m.From)
		}
		return
	}
	n.onAnnouncement(m)
}

// onAnnouncement handles the announcement of a node that doesn't belong to a group.
func (n *Node) onAnnouncement(m *Message) {
	host := m.From.Host()
	if n.hardState.Group == "" {
		if slices.Contains(n.cfg.Peers, host) {
			n.formation.unformedPeers[host] = m.From
		}
		return
	}
	first := n.configs[0].clone()
	if first.isVoter(m.From) || slices.Contains(n.configuration().members(), m.From) {
		n.send(Message{Kind: MessageFormGroup, To: m.From, Configuration: &first})
		return
	}
	n.addJoinCandidate(m.From)
	n.addReplacementLearner(m.From)
}

// addJoinCandidate records that a node asks to join, and tells it who the members are.
func (n *Node) addJoinCandidate(id NodeID) {
	current := n.configuration().clone()
	n.send(Message{Kind: MessageAnnouncement, To: id, Configuration: &current})
	if _, known := n.formation.candidates[id.Host()]; known || len(n.formation.candidates) < maxMembers {
		n.formation.candidates[id.Host()] = joinCandidate{id, n.now}
	}
}

// addReplacementLearner adds id as a learner if it runs on the host of a voter whose disk was lost. The host rejoins under
// the identity of its new disk.
func (n *Node) addReplacementLearner(id NodeID) {
	if n.role != Leader || n.leaderState.transferTarget != "" || !n.changeAllowed() {
		return
	}
	current := n.configuration()
	if _, ok := current.voterOnHost(id.Host()); !ok || slices.Contains(current.members(), id) {
		return
	}
	// The only possible error is an encoding failure. The next announcement of the host repeats the attempt.
	_ = n.appendConfiguration(current.withLearner(id))
}
