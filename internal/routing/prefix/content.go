package prefix

import (
	"crypto/sha256"
	"hash"
	"unicode"
	"unicode/utf8"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// ContentDigest returns a digest of a prompt's content: customer, model and messages, with every run of white space inside a
// message replaced by one space and none at its ends. A request that crashed engines keeps its digest when it is sent
// again with another request id, other white space or for other weights. The order of JSON fields must already be
// normalized by the code that renders the messages. The digest costs more than a chain, so it is computed only if a
// request has recently crashed an engine.
func ContentDigest(p Prompt) unit.Digest {
	outer, inner := sha256.New(), sha256.New()
	writeFields(outer, contentDomain, string(p.Customer), string(p.Model))
	f := whitespaceFolder{hash: inner}
	for _, message := range p.Messages {
		// Each message is hashed separately, since its length without extra white space isn't known in advance.
		inner.Reset()
		f.fold(message)
		digest := truncatedSum(inner)
		outer.Write(digest[:])
	}
	return truncatedSum(outer)
}

// whitespaceFolder hashes text with runs of white space replaced by one space. It uses a buffer, so that a long prompt
// isn't copied as a whole.
type whitespaceFolder struct {
	hash   hash.Hash
	buffer [4096]byte
}

// asciiSpace marks the white space below utf8.RuneSelf. A table lookup is faster than comparisons for every byte.
var asciiSpace = [256]bool{' ': true, '\t': true, '\n': true, '\v': true, '\f': true, '\r': true}

// fold hashes the words of the text, separated by single spaces. Invalid UTF-8 bytes are treated as characters.
func (f *whitespaceFolder) fold(text string) {
	started, pendingSpace := false, false
	filled := 0
	for at := 0; at < len(text); {
		c, size := text[at], 1
		space := asciiSpace[c]
		if c >= utf8.RuneSelf {
			var r rune
			r, size = utf8.DecodeRuneInString(text[at:])
			space = unicode.IsSpace(r)
		}
		if space {
			pendingSpace = started
			at += size
			continue
		}
		if filled+1+utf8.UTFMax > len(f.buffer) {
			f.hash.Write(f.buffer[:filled])
			filled = 0
		}
		if pendingSpace {
			f.buffer[filled] = ' '
			filled++
		}
		started, pendingSpace = true, false
		for end := at + size; at < end; at++ {
			f.buffer[filled] = text[at]
			filled++
		}
	}
	f.hash.Write(f.buffer[:filled])
}
