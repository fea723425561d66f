package bodymemory

import (
	"bytes"
	"net/http"

	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// copiesOfText is how often the bytes of a document are kept beside it: its texts, and those that are built from them.
	copiesOfText = 2
	// objectMemory and valueMemory are the memory that an object and another value take, however short they are: the fields of the largest type
	// that documents have, twice while a list of them grows, or an entry of a map.
	objectMemory = 512
	valueMemory  = 64
)

// Decode calls decode while it holds the memory for decoding the body of a request, a JSON document. Without calling it, Decode fails with
// fault.TooLarge if the document takes more memory than there is for all, and with fault.Overloaded if others take it. Requests that didn't
// come through Budget.Handler aren't limited.
func Decode(r *http.Request, document []byte, decode func() error) error {
	read, ok := r.Body.(*body)
	if !ok {
		return decode()
	}
	b := read.budget
	memory := decodedMemory(document)
	if most := b.decoding.Largest(); memory > most {
		return fault.TooLarge.New("the document takes %d bytes when it is decoded, at most %d are allowed", memory, most)
	}
	share := b.decoding.Open("")
	defer share.Close()
	if err := share.Grow(memory); err != nil {
		return full(err)
	}
	return decode()
}

// decodedMemory returns the memory that a JSON document takes at most when it is decoded.
func decodedMemory(document []byte) int64 {
	objects, values := int64(0), int64(1)
	for i := 0; i < len(document); i++ {
		switch document[i] {
		case '"':
			i += textLength(document[i:]) - 1
		case '{':
			objects++
		case ',', '[', ':':
			values++
		}
	}
	return copiesOfText*int64(len(document)) + objectMemory*objects + valueMemory*values
}

// textLength returns the length of the text that a document begins with, both quotation marks included.
func textLength(document []byte) int {
	length := 1
	for {
		end := bytes.IndexByte(document[length:], '"')
		if end < 0 {
			return len(document)
		}
		length += end + 1
		before := document[:length-1]
		if escapes := len(before) - len(bytes.TrimRight(before, `\`)); escapes%2 == 0 {
			return length
		}
	}
}
