package quorum

// read completes a read at once if the leader holds a lease, and otherwise once a quorum has acknowledged a heartbeat round
// that starts now.
func (n *Node) read(id uint64) {
	if n.role != Leader {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: id, Err: n.notLeader()})
		return
	}
	if n.LeaseValid(n.now) {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: id, Index: n.log.commit})
		return
	}
	n.leaderState.pendingReads = append(n.leaderState.pendingReads, pendingRead{id: id, round: n.leaderState.round + 1})
	n.heartbeat()
}

// completeReads completes the reads whose heartbeat round a quorum has acknowledged. Until this leader has committed an entry
// of its own term, its commit index may be out of date, and the reads wait.
func (n *Node) completeReads() {
	if n.leaderState == nil || n.log.commit < n.leaderState.termStart {
		return
	}
	round := n.quorumRound()
	kept := n.leaderState.pendingReads[:0]
	for _, waiting := range n.leaderState.pendingReads {
		if waiting.round <= round {
			n.out.Reads = append(n.out.Reads, ReadResult{ID: waiting.id, Index: n.log.commit})
		} else {
			kept = append(kept, waiting)
		}
	}
	n.leaderState.pendingReads = kept
}

func (n *Node) failReads() {
	for _, waiting := range n.leaderState.pendingReads {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: waiting.id, Err: n.notLeader()})
	}
	n.leaderState.pendingReads = nil
}
