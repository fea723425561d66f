package quorum

import (
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// formation is the state of forming a group for the first time and of hosts that ask to join it.
type formation struct {
	heard      map[string]NodeID // unformed peers and their identities
	formed     bool              // some peer belongs to a group already, so no new group may be formed
	candidates map[string]candidate
	helloAt    unit.Moment
}

// candidate is a host that may be added.
type candidate struct {
	id NodeID
	at unit.Moment // when it last asked
}

// candidateMemory is how long a host that doesn't ask any more still counts as one that may be added. Hosts ask with every
// heartbeat; one that was lost since would be a member that never catches up.
const candidateMemory = 2 * time.Second

func newFormation() formation {
	return formation{heard: map[string]NodeID{}, candidates: map[string]candidate{}}
}

// candidate returns the identity under which a host asks to join.
func (n *Node) candidate(host string) (NodeID, bool) {
	c, ok := n.formation.candidates[host]
	return c.id, ok && n.now.Sub(c.at) <= candidateMemory
}

// tickFormation announces the node and forms the group once every peer has announced itself with an empty disk. Only the
// first peer by name forms it, so that no two configurations come about.
func (n *Node) tickFormation() {
	f := &n.formation
	if !n.cfg.Join && len(n.cfg.Peers) > 0 && !f.formed && slices.Min(n.cfg.Peers) == n.cfg.Self.Host() && n.heardEveryPeer() {
		n.form()
		return
	}
	if f.helloAt != 0 && n.now.Sub(f.helloAt) < n.cfg.Heartbeat {
		return
	}
	f.helloAt = n.now
	for _, host := range n.cfg.Peers {
		if host != n.cfg.Self.Host() {
			n.send(Message{Kind: MessageHello, To: NewNodeID(host, "")})
		}
	}
}

func (n *Node) heardEveryPeer() bool {
	for _, host := range n.cfg.Peers {
		if _, heard := n.formation.heard[host]; !heard && host != n.cfg.Self.Host() {
			return false
		}
	}
	return true
}

// hostsToJoin returns the hosts that asked to join and aren't members.
func (n *Node) hostsToJoin() []string {
	members := n.configuration().members()
	var hosts []string
	for host := range n.formation.candidates {
		if id, ok := n.candidate(host); ok && !slices.Contains(members, id) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

func (n *Node) form() {
	c := Configuration{Voters: []NodeID{n.cfg.Self}}
	for _, host := range n.cfg.Peers {
		if host != n.cfg.Self.Host() {
			c.Voters = append(c.Voters, n.formation.heard[host])
		}
	}
	slices.Sort(c.Voters)
	c.Voters = slices.Compact(c.Voters)
	n.adopt(groupName(c), c)
}

// adopt makes the node part of a group and the first configuration durable. The node's identity never voted, so there is
// no vote to remember.
func (n *Node) adopt(group string, c Configuration) {
	n.hard.Group = group
	n.disk.hardDirty = true
	n.configs = []placedConfiguration{{0, c}}
	n.snapshot.Configuration = c
	n.disk.newSnapshot = &Snapshot{Configuration: c}
	n.resetCampaign()
}

func (n *Node) onFormation(m *Message) {
	if m.To.Host() != n.cfg.Self.Host() || m.From == n.cfg.Self {
		return
	}
	if m.Kind == MessageForm {
		if n.hard.Group == "" && m.To == n.cfg.Self && m.Group != "" && m.Configuration != nil {
			n.adopt(m.Group, *m.Configuration)
		}
		return
	}
	if m.Group != "" {
		n.formation.formed = true
		return
	}
	n.onUnformed(m)
}

// onUnformed handles the announcement of a node that belongs to no group.
func (n *Node) onUnformed(m *Message) {
	host := m.From.Host()
	if n.hard.Group == "" {
		if slices.Contains(n.cfg.Peers, host) {
			n.formation.heard[host] = m.From
		}
		return
	}
	first := n.configs[0].clone()
	if first.isVoter(m.From) || slices.Contains(n.configuration().members(), m.From) {
		n.send(Message{Kind: MessageForm, To: m.From, Configuration: &first})
		return
	}
	n.send(Message{Kind: MessageHello, To: m.From})
	if _, known := n.formation.candidates[host]; known || len(n.formation.candidates) < maxMembers {
		n.formation.candidates[host] = candidate{m.From, n.now}
	}
	n.considerReplacement(m.From)
}

// considerReplacement takes a voter's host that lost its disk back as a learner under its new identity.
func (n *Node) considerReplacement(id NodeID) {
	if n.role != Leader || n.leading.handover != "" || !n.changeAllowed() {
		return
	}
	current := n.configuration()
	if _, ok := current.voterOf(id.Host()); !ok || slices.Contains(current.members(), id) {
		return
	}
	// An encoding failure is the only one left; the host announces itself again.
	_ = n.appendConfiguration(current.withLearner(id))
}
