package hostileclients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// memoryMB and maxDescriptors are what the tests' settings give each process: the memory of the smallest entry host of the
	// deployments, and descriptors of which reservedDescriptors must stay free.
	memoryMB, maxDescriptors, reservedDescriptors = 112, 456, 200
	// bodyClients clients with bodies of bodyBytes bytes send more than the memory together; idleClients are more than the descriptors
	// that may be used.
	bodyClients, idleClients, headerClients = 40, 300, 40
	bodyBytes, missingBytes                 = 4_000_000, 1000
	// endlessBytes is where a client gives up sending a header or empty lines without end.
	endlessBytes = 1 << 20
	// tinyBytes is the part of a body that is sent in chunks of 4 bytes, which takes the clients' processor time.
	tinyBytes = 256 << 10
	datagrams = 20_000
	// writeTimeout ends the writing of clients whose bytes the process doesn't read any more.
	writeTimeout = 10 * time.Second
)

var waitOptions = []poll.SettingOp{poll.WithTimeout(60 * time.Second), poll.WithDelay(50 * time.Millisecond)}

// crowd is a number of clients that do the same to one listener.
type crowd struct {
	name  string
	count int
	// send writes what one client sends. The connection stays open afterwards.
	send func(w *bufio.Writer) error
}

// request returns the head of a request, without the empty line at its end.
func request(line string, header ...string) string {
	return strings.Join(append([]string{line + " HTTP/1.1", "Host: h.example"}, header...), "\r\n") + "\r\n"
}

func crowds(head string) []crowd {
	kinds := append(bodyCrowds(head), headerCrowds(head)...)
	return append(kinds, together(kinds))
}

// together returns a crowd with bodyClients clients of each kind, in turns.
func together(kinds []crowd) crowd {
	var sent atomic.Uint64
	return crowd{"all kinds at once", bodyClients * len(kinds), func(w *bufio.Writer) error {
		return kinds[sent.Add(1)%uint64(len(kinds))].send(w)
	}}
}

// bodyCrowds returns the clients whose bodies stop short of their end. head is the head of a request that may have a body.
func bodyCrowds(head string) []crowd {
	chunk := func(size, total int) func(w *bufio.Writer) error {
		piece := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		return func(w *bufio.Writer) error {
			if _, err := w.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
				return err
			}
			return repeat(w, piece, total/size)
		}
	}
	return []crowd{
		{"bodies with a length", bodyClients, func(w *bufio.Writer) error {
			if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, bodyBytes); err != nil {
				return err
			}
			return repeat(w, strings.Repeat("x", 1000), (bodyBytes-missingBytes)/1000)
		}},
		{"bodies in large chunks", bodyClients, chunk(62_500, bodyBytes-62_500)},
		{"bodies in small chunks", bodyClients, chunk(4, tinyBytes)},
		{"bodies that hardly begin", idleClients, func(w *bufio.Writer) error {
			_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\nx", head, bodyBytes)
			return err
		}},
	}
}

// headerCrowds returns the clients whose requests don't get as far as a body.
func headerCrowds(head string) []crowd {
	return []crowd{
		{"a header over the limit", headerClients, func(w *bufio.Writer) error {
			_, err := w.WriteString(head + "X-Large: " + strings.Repeat("x", endlessBytes) + "\r\n\r\n")
			return err
		}},
		{"headers without end", headerClients, func(w *bufio.Writer) error {
			if _, err := w.WriteString(head); err != nil {
				return err
			}
			return repeat(w, "X-More: "+strings.Repeat("x", 100)+"\r\n", endlessBytes/100)
		}},
		{"empty lines without end", headerClients, func(w *bufio.Writer) error { return repeat(w, "\r\n", endlessBytes/2) }},
		{"idle connections", idleClients, func(*bufio.Writer) error { return nil }},
	}
}

func repeat(w io.StringWriter, text string, count int) error {
	for range count {
		if _, err := w.WriteString(text); err != nil {
			return err
		}
	}
	return nil
}

// target is a process and how to see that it still serves.
type target struct {
	pid     int
	running func() bool
	// ordinary sends one ordinary request and returns an error unless it is answered.
	ordinary func() error
}

// endure opens the clients of a crowd and checks that the process lives, stays within its memory and descriptors and answers an ordinary
// request while they are open.
func (p target) endure(t *testing.T, address string, c crowd) {
	t.Helper()
	var largest usage
	var mu sync.Mutex
	observe := func() {
		mu.Lock()
		defer mu.Unlock()
		now, err := usageOf(p.pid)
		if err != nil {
			t.Errorf("the process has ended: %v", err)
			return
		}
		largest = usage{max(largest.memory, now.memory), max(largest.descriptors, now.descriptors)}
	}
	var sending sync.WaitGroup
	for range c.count {
		connection, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer connection.Close()
		sending.Go(func() {
			_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
			w := bufio.NewWriterSize(connection, 32<<10)
			// An error means that the process has closed the connection, which it may.
			if err := c.send(w); err == nil {
				_ = w.Flush()
			}
			observe()
		})
	}
	sending.Wait()
	p.check(t, observe)
	t.Logf("%d MB and %d descriptors at the most", largest.memory>>20, largest.descriptors)
	assert.Check(t, largest.memory <= memoryMB<<20, "the process took %d MB of memory, %d MB are allowed", largest.memory>>20, memoryMB)
	assert.Check(t, largest.descriptors <= maxDescriptors-reservedDescriptors, "the process opened %d descriptors, %d are allowed",
		largest.descriptors, maxDescriptors-reservedDescriptors)
}

// check waits until an ordinary request is answered and checks that the process is the same one.
func (p target) check(t *testing.T, observe func()) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		observe()
		if err := p.ordinary(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, waitOptions...)
	observe()
	assert.Assert(t, p.running(), "the process has ended")
}

// usage is what a process takes of its machine.
type usage struct {
	memory      int64 // resident bytes
	descriptors int
}

func usageOf(pid int) (usage, error) {
	var u usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return u, err
			}
			u.memory = kilobytes << 10
		}
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.descriptors = len(open)
	return u, err
}
