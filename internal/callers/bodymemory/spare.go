package bodymemory

import "github.com/citronglade/citronglade/internal/base/buffermemory"

// spare keeps large buffers that bodies don't use any more for the next ones. Without it, bodies that grow and are given up leave several
// times their memory as garbage. It isn't safe for concurrent use.
type spare struct {
	bySize map[int][][]byte
	bytes  int64
}

// take returns an empty buffer of the given size, a new one if there is none.
func (s *spare) take(size int64) []byte {
	buffers := s.bySize[int(size)]
	if len(buffers) == 0 {
		return make([]byte, 0, size)
	}
	last := len(buffers) - 1
	buffer := buffers[last]
	buffers[last] = nil
	s.bySize[int(size)] = buffers[:last]
	s.bytes -= size
	return buffer[:0]
}

// put keeps a buffer unless it is small or takes more than the given number of bytes together with the others.
func (s *spare) put(buffer []byte, most int64) {
	size := int64(cap(buffer))
	if size <= buffermemory.SmallBytes || s.bytes+size > most {
		return
	}
	if s.bySize == nil {
		s.bySize = map[int][][]byte{}
	}
	s.bySize[cap(buffer)] = append(s.bySize[cap(buffer)], buffer)
	s.bytes += size
}

// limit drops buffers until they take at most the given number of bytes.
func (s *spare) limit(most int64) {
	for size, buffers := range s.bySize {
		for s.bytes > most && len(buffers) > 0 {
			last := len(buffers) - 1
			buffers[last] = nil
			buffers = buffers[:last]
			s.bytes -= int64(size)
		}
		if len(buffers) == 0 {
			delete(s.bySize, size)
		} else {
			s.bySize[size] = buffers
		}
	}
}
