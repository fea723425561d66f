// Package prefix cuts a prompt into pieces of equal length and identifies each prefix that ends at a piece by a salted
// digest.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// DefaultPieceTokens is the size of a cache piece on the engines of both deployments.
	DefaultPieceTokens unit.Tokens = 2000
	// DefaultBytesPerToken is the average for Dutch and English text; the setting bytes-per-token overrides it.
	DefaultBytesPerToken = 4
)

// The salts of chain digests and content digests start with different strings, so that a chain digest can never equal a
// content digest.
const (
	chainDomain   = "citronglade-chain-1"
	contentDomain = "citronglade-content-1"
)

// Level is one nesting level of a prompt, such as the system prompt or the user profile.
type Level struct {
	// Pieces counts the whole pieces of the prompt up to the end of this level.
	Pieces int
}

// Prompt is the input that a chain is computed from.
type Prompt struct {
	Customer unit.CustomerID
	Model    unit.ModelName
	Weights  unit.WeightsVersion
	// Messages holds the canonical text of every message, including its role, in order.
	Messages []string
}

// Chain identifies the pieces of one prompt.
type Chain struct {
	// Digests[i] covers the pieces 0 to i. A trailing partial piece has no digest, because engines don't cache it.
	Digests []unit.Digest
	// Levels ends with a level of len(Digests) pieces, unless the prompt is shorter than one piece.
	Levels []Level
	// Tokens is the estimated length of the whole prompt, including the trailing partial piece.
	Tokens      unit.Tokens
	PieceTokens unit.Tokens
}

// New computes the chain of a prompt. Values below 1 for pieceTokens or bytesPerToken select the defaults.
func New(p Prompt, pieceTokens unit.Tokens, bytesPerToken int) Chain {
	if pieceTokens < 1 {
		pieceTokens = DefaultPieceTokens
	}
	if bytesPerToken < 1 {
		bytesPerToken = DefaultBytesPerToken
	}
	b := newBuilder(p, int(pieceTokens)*bytesPerToken)
	for _, message := range p.Messages {
		b.addMessage(message)
	}
	return Chain{
		Digests:     b.digests,
		Levels:      b.levels,
		Tokens:      unit.Tokens((b.length + bytesPerToken - 1) / bytesPerToken),
		PieceTokens: pieceTokens,
	}
}

// PrefixTokens returns the number of tokens in the first pieces of the prompt.
func (c Chain) PrefixTokens(pieces int) unit.Tokens {
	return min(unit.Tokens(pieces)*c.PieceTokens, c.Tokens)
}

// builder hashes the concatenated messages piece by piece.
type builder struct {
	pieceBytes  int
	hash        hash.Hash
	previous    unit.Digest
	pieceLength int   // bytes hashed into the current piece
	boundaries  []int // offsets of message ends inside the current piece
	length      int   // bytes of all messages
	digests     []unit.Digest
	levels      []Level
	buffer      [4096]byte
}

func newBuilder(p Prompt, pieceBytes int) *builder {
	total := 0
	for _, message := range p.Messages {
		total += len(message)
	}
	b := &builder{pieceBytes: pieceBytes, hash: sha256.New(), digests: make([]unit.Digest, 0, total/pieceBytes)}
	writeFields(b.hash, chainDomain, string(p.Customer), string(p.Model), string(p.Weights))
	b.previous = truncatedSum(b.hash)
	b.startPiece()
	return b
}

func (b *builder) addMessage(message string) {
	b.length += len(message)
	for len(message) > 0 {
		// The hash takes a byte slice; copying through one buffer avoids a copy of the whole prompt on the heap.
		n := copy(b.buffer[:min(len(b.buffer), b.pieceBytes-b.pieceLength)], message)
		message = message[n:]
		b.hash.Write(b.buffer[:n])
		b.pieceLength += n
		if b.pieceLength == b.pieceBytes {
			b.finishPiece()
		}
	}
	// The end of a message is hashed with the piece that follows it: if a piece ends exactly at the end of a message,
	// the engine's cache contains the same piece whether or not the message continues.
	b.boundaries = append(b.boundaries, b.pieceLength)
	pieces := len(b.digests)
	if pieces > 0 && (len(b.levels) == 0 || b.levels[len(b.levels)-1].Pieces < pieces) {
		b.levels = append(b.levels, Level{Pieces: pieces})
	}
}

func (b *builder) startPiece() {
	b.hash.Reset()
	b.hash.Write(b.previous[:])
	b.pieceLength = 0
	b.boundaries = b.boundaries[:0]
}

// finishPiece hashes the message ends of the piece after its text. The text has a fixed length, so no other split of
// the same bytes into messages gives the same digest.
func (b *builder) finishPiece() {
	for _, offset := range b.boundaries {
		b.hash.Write(binary.BigEndian.AppendUint64(nil, uint64(offset)))
	}
	b.previous = truncatedSum(b.hash)
	b.digests = append(b.digests, b.previous)
	b.startPiece()
}

// writeFields writes each field preceded by its length, so that ("ab", "c") and ("a", "bc") differ.
func writeFields(h hash.Hash, fields ...string) {
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
}

func truncatedSum(h hash.Hash) unit.Digest {
	var full [sha256.Size]byte
	h.Sum(full[:0])
	return unit.Digest(full[:len(unit.Digest{})])
}
