package driver

import (
	"bytes"
	"sync"
)

// processLog collects the output of a process in memory. It is safe for concurrent use.
type processLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *processLog) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
