package control_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

const endOfHistory = int64(1) << 40

type machine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// client is one simulated client. next receives the reply to the client's last command, nil if the command or the reply was
// lost, and returns the next command, nil at the end, with the input that the history records. at is the current step of the
// history and serves as the command's time, which the leader sets in production.
type client interface {
	next(reply []byte, at int64) (command []byte, input any)
}

type message struct {
	client       int
	historyIndex int // -1 for a duplicate, whose reply is discarded
	command      []byte
	reply        []byte
}

// cluster simulates a replicated log with three replicas and a network that delays, reorders, loses and duplicates commands
// and loses replies. All random choices come from one seeded generator.
type cluster struct {
	t        *testing.T
	random   *rand.Rand
	replicas []machine
	applied  []int
	log      [][]byte
	leader   int
	network  []message
	history  []porcupine.Operation
	decode   func([]byte) any
}

func (c *cluster) run(clients []client) []porcupine.Operation {
	for i := range clients {
		c.send(clients, i, nil)
	}
	for len(c.network) > 0 {
		at := c.random.IntN(len(c.network))
		m := c.network[at]
		c.network = append(c.network[:at], c.network[at+1:]...)
		switch {
		case m.reply != nil:
			c.history[m.historyIndex].Output = c.decode(m.reply)
			c.history[m.historyIndex].Return = c.now()
			c.send(clients, m.client, m.reply)
		case m.historyIndex >= 0 && c.chance(10):
			c.send(clients, m.client, nil) // the command is lost before it is in the log
		default:
			c.apply(clients, m)
		}
	}
	c.catchUp()
	return c.history
}

func (c *cluster) apply(clients []client, m message) {
	if c.chance(5) {
		c.changeLeader()
	}
	c.log = append(c.log, m.command)
	m.reply = c.applyLog(c.leader)
	switch {
	case m.historyIndex < 0:
	case c.chance(10):
		c.send(clients, m.client, nil) // the command is applied, but the reply is lost
	default:
		c.network = append(c.network, m)
	}
}

func (c *cluster) send(clients []client, i int, reply []byte) {
	command, input := clients[i].next(reply, c.now())
	if command == nil {
		return
	}
	record := func() {
		c.history = append(c.history, porcupine.Operation{
			ClientId: len(c.history), Input: input, Call: c.now(), Return: endOfHistory,
		})
	}
	record()
	c.network = append(c.network, message{client: i, historyIndex: len(c.history) - 1, command: command})
	if c.chance(15) {
		record()
		c.network = append(c.network, message{historyIndex: -1, command: command})
	}
}

// changeLeader makes a random replica the leader. It catches up from the log or from a snapshot of the old leader.
func (c *cluster) changeLeader() {
	old := c.leader
	c.leader = c.random.IntN(len(c.replicas))
	if c.chance(50) && c.applied[old] > c.applied[c.leader] {
		snapshot, err := c.replicas[old].Snapshot()
		assert.NilError(c.t, err)
		assert.NilError(c.t, c.replicas[c.leader].Restore(snapshot))
		c.applied[c.leader] = c.applied[old]
	}
	c.applyLog(c.leader)
}

func (c *cluster) applyLog(replica int) (result []byte) {
	for ; c.applied[replica] < len(c.log); c.applied[replica]++ {
		result = c.replicas[replica].Apply(uint64(c.applied[replica]), c.log[c.applied[replica]])
	}
	return result
}

// catchUp applies the rest of the log on all replicas and compares their snapshots.
func (c *cluster) catchUp() {
	var first []byte
	for i, replica := range c.replicas {
		c.applyLog(i)
		snapshot, err := replica.Snapshot()
		assert.NilError(c.t, err)
		if i == 0 {
			first = snapshot
		}
		assert.Assert(c.t, bytes.Equal(snapshot, first), "replica %d differs from replica 0", i)
	}
}

func (c *cluster) now() int64 {
	return int64(len(c.history) + len(c.log) + 1)
}

func (c *cluster) chance(percent int) bool {
	return c.random.IntN(100) < percent
}
