package quorum

// outgoingSnapshot is a snapshot that is being sent to one member, one chunk at a time.
type outgoingSnapshot struct {
	snapshot Snapshot
	offset   int64
}

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	from  NodeID
	index Index
	term  Term
	data  []byte
}

func (n *Node) startSnapshot(id NodeID, p *progress) {
	p.outgoing = &outgoingSnapshot{snapshot: n.snapshot}
	p.inFlight, p.progressedAt = 0, n.now
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id NodeID, p *progress) {
	s := p.outgoing
	total := int64(len(s.snapshot.Data))
	end := min(total, s.offset+int64(n.cfg.ChunkBytes))
	configuration := s.snapshot.Configuration
	n.send(Message{
		Kind: MessageSnapshot, To: id, Term: n.hardState.Term, Index: s.snapshot.Index, EntryTerm: s.snapshot.Term,
		Configuration: &configuration, Offset: s.offset, Total: total, Data: s.snapshot.Data[s.offset:end],
	})
}

// onSnapshot adds a received chunk to the incoming snapshot and installs the snapshot when it is complete.
func (n *Node) onSnapshot(m *Message) {
	if m.Index <= n.log.commit || n.log.matches(m.Index, m.EntryTerm) {
		n.commitThrough(m.Index)
		n.acknowledgeSnapshot(m, n.log.commit)
		return
	}
	if m.Total > n.cfg.MaxSnapshot {
		return
	}
	r := n.incoming
	if r == nil || r.from != m.From || r.index != m.Index || r.term != m.Term {
		r = &incomingSnapshot{from: m.From, index: m.Index, term: m.Term}
		n.incoming = r
	}
	if m.Offset == int64(len(r.data)) {
		r.data = append(r.data, m.Data...)
	}
	if int64(len(r.data)) < m.Total {
		n.send(Message{
			Kind: MessageSnapshotResponse, To: m.From, Term: n.hardState.Term, Index: m.Index, Offset: int64(len(r.data)),
		})
		return
	}
	n.installSnapshot(Snapshot{Index: m.Index, Term: m.EntryTerm, Configuration: m.Configuration.clone(), Data: r.data})
	n.acknowledgeSnapshot(m, m.Index)
}

// installSnapshot replaces the log by the snapshot. The state machine is restored from it once it is durable.
func (n *Node) installSnapshot(s Snapshot) {
	n.incoming = nil
	n.log.reset(s.Index, s.Term)
	n.configs = []indexedConfiguration{{s.Index, s.Configuration}}
	n.disk.pendingSnapshot, n.disk.resetLog = &s, true
}

// acknowledgeSnapshot tells the leader, once the log is durable, that this node holds everything up to index.
func (n *Node) acknowledgeSnapshot(m *Message, index Index) {
	n.sendWhenDurable(dependsOnLog, Message{Kind: MessageAppendResponse, To: m.From, Term: n.hardState.Term, Index: index})
}

func (n *Node) onSnapshotResponse(m *Message, p *progress) {
	if p.outgoing == nil || p.outgoing.snapshot.Index != m.Index || m.Offset > int64(len(p.outgoing.snapshot.Data)) {
		return
	}
	p.progressedAt = n.now
	if m.Offset != p.outgoing.offset {
		p.outgoing.offset = m.Offset
		n.sendChunk(m.From, p)
	}
}
