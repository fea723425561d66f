package quorum

import (
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// MessageKind is the type of a request, response or notification between nodes.
type MessageKind uint8

// The kinds of messages.
const (
	MessageAnnouncement MessageKind = iota + 1 // without a configuration: a node asks to join; with one: a member's answer to it
	MessageFormGroup                           // tells a node the group's name and first configuration
	MessagePreVote
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot
	MessageSnapshotResponse
	MessageTimeoutNow // the leader asks the transfer target to campaign at once
	messageKindEnd
)

const (
	// maxMessageBytes keeps messages below the transport's frame limit of 16 MiB.
	maxMessageBytes = 12 << 20
	// maxCommandBytes leaves room for the other fields of a message that carries one large entry.
	maxCommandBytes   = maxMessageBytes - 1<<20
	maxMessageEntries = 1 << 16
	maxMembers        = 64
)

// Message is sent from one node to another. Which fields are used depends on Kind.
type Message struct {
	Kind      MessageKind `cbor:"1,keyasint"`
	Group     string      `cbor:"2,keyasint,omitempty"`
	From      NodeID      `cbor:"3,keyasint"`
	To        NodeID      `cbor:"4,keyasint"`
	Term      Term        `cbor:"5,keyasint,omitempty"`
	Index     Index       `cbor:"6,keyasint,omitempty"` // last entry or the one before Entries; in responses the matched or rejected
	EntryTerm Term        `cbor:"7,keyasint,omitempty"` // the term of the entry at Index
	Commit    Index       `cbor:"8,keyasint,omitempty"`
	Round     uint64      `cbor:"9,keyasint,omitempty"`
	Reject    bool        `cbor:"10,keyasint,omitempty"`
	Hint      Index       `cbor:"11,keyasint,omitempty"` // after a rejected append: the last entry that may match
	Forced    bool        `cbor:"12,keyasint,omitempty"` // a vote request of an election that the leader itself requested

	Entries       []Entry        `cbor:"13,keyasint,omitempty"`
	Configuration *Configuration `cbor:"14,keyasint,omitempty"`
	Offset        int64          `cbor:"15,keyasint,omitempty"`
	Total         int64          `cbor:"16,keyasint,omitempty"`
	Data          []byte         `cbor:"17,keyasint,omitempty"`
}

// Encode returns the message as CBOR.
func (m *Message) Encode() ([]byte, error) {
	return codec.Marshal(m)
}

// DecodeMessage reads a message from a peer and checks its structure. It fails with fault.BadPeer.
func DecodeMessage(data []byte) (*Message, error) {
	if len(data) > maxMessageBytes {
		return nil, fault.BadPeer.New("quorum message has %d bytes, at most %d are allowed", len(data), maxMessageBytes)
	}
	m := new(Message)
	if err := codec.Unmarshal(data, m); err != nil {
		return nil, err
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Message) check() error {
	if m.Kind == 0 || m.Kind >= messageKindEnd {
		return fault.BadPeer.New("quorum message has unknown kind %d", m.Kind)
	}
	if m.From == "" || m.To == "" {
		return fault.BadPeer.New("quorum message without sender or recipient")
	}
	if len(m.Entries) > maxMessageEntries {
		return fault.BadPeer.New("quorum message has %d entries", len(m.Entries))
	}
	for i, entry := range m.Entries {
		if entry.Index != m.Index+1+Index(i) || entry.Term > m.Term || entry.Kind > EntryConfiguration {
			return fault.BadPeer.New("quorum message has a bad entry at position %d", i)
		}
		if entry.Kind == EntryConfiguration {
			if _, err := decodeConfiguration(entry.Data); err != nil {
				return err
			}
		}
	}
	if m.Configuration != nil {
		if err := m.Configuration.check(); err != nil {
			return err
		}
	}
	if m.Kind == MessageSnapshot {
		return m.checkSnapshot()
	}
	return nil
}

func (m *Message) checkSnapshot() error {
	if m.Configuration == nil || m.Offset < 0 || m.Total < 0 || m.Offset > m.Total ||
		int64(len(m.Data)) > m.Total-m.Offset {
		return fault.BadPeer.New("snapshot message has an impossible range")
	}
	return nil
}
