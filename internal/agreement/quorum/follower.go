package quorum

// onLeaderMessage handles appends, heartbeats and snapshots.
func (n *Node) onLeaderMessage(m *Message) {
	if m.Term < n.hardState.Term {
		// The response tells the sender, a former leader, that a later term has begun.
		n.send(Message{Kind: responseKind(m.Kind), To: m.From, Term: n.hardState.Term, Index: m.Index, Reject: true})
		return
	}
	if m.Term == n.hardState.Term && n.role == Leader {
		return // a term has at most one leader, so the message is forged or corrupt
	}
	if m.Term > n.hardState.Term || n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.noteLeaderContact(m.From, n.now)
	switch m.Kind {
	case MessageAppend:
		n.onAppend(m)
	case MessageHeartbeat:
		n.commitThrough(m.Commit)
		n.send(Message{Kind: MessageHeartbeatResponse, To: m.From, Term: n.hardState.Term, Round: m.Round})
	case MessageSnapshot:
		n.onSnapshot(m)
	default:
	}
}

func responseKind(kind MessageKind) MessageKind {
	switch kind {
	case MessageAppend:
		return MessageAppendResponse
	case MessageSnapshot:
		return MessageSnapshotResponse
	default:
		return MessageHeartbeatResponse
	}
}

func (n *Node) commitThrough(index Index) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}

func (n *Node) onAppend(m *Message) {
	response := Message{Kind: MessageAppendResponse, To: m.From, Term: n.hardState.Term}
	if m.Index < n.log.commit {
		// Committed entries always match the leader's log.
		response.Index = n.log.commit
		n.sendWhenDurable(dependsOnLog, response)
		return
	}
	if !n.log.matches(m.Index, m.EntryTerm) {
		response.Reject, response.Index, response.Hint = true, m.Index, n.log.conflictHint(m.Index)
		n.send(response)
		return
	}
	n.appendMissing(m.Entries)
	response.Index = m.Index + Index(len(m.Entries))
	n.commitThrough(min(m.Commit, response.Index))
	n.sendWhenDurable(dependsOnLog, response)
}

// appendMissing appends the entries that the log doesn't contain yet. A conflicting suffix of the log is replaced.
func (n *Node) appendMissing(entries []Entry) {
	for i, entry := range entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= n.log.last() {
			n.log.truncate(entry.Index)
			n.dropConfigurations(entry.Index)
		}
		n.log.entries = append(n.log.entries, entries[i:]...)
		n.recordConfigurations(entries[i:])
		return
	}
}
