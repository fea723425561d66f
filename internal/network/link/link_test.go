package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/buffermemory"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/network/identity"
	"github.com/citronglade/citronglade/internal/network/keys"
)

const day = 24 * time.Hour

// makeKeys issues a certificate for each name, signed by a new authority, and returns their folder.
func makeKeys(t *testing.T, role keys.Role, lifetime time.Duration, names ...string) string {
	t.Helper()
	folder := t.TempDir()
	authority, err := keys.New(folder, time.Now())
	assert.NilError(t, err)
	for _, name := range names {
		assert.NilError(t, authority.Issue(folder, name, role, time.Now(), lifetime))
	}
	return folder
}

func startLink(t *testing.T, folder string, name unit.HostName, peers map[unit.HostName]string, handler Handler) *Link {
	t.Helper()
	own, err := identity.New(folder, string(name), time.Now)
	assert.NilError(t, err)
	l, err := New(Options{Name: name, Listen: "127.0.0.1:0", Peers: peers, Identity: own, Handler: handler})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return l
}

func echo(_ context.Context, from unit.HostName, kind string, payload []byte) ([]byte, error) {
	if kind == "fail" {
		return nil, fault.NotLeader.New("entry-2 leads").WithProperty(fault.Leader, "entry-2")
	}
	return []byte(string(from) + " " + kind + " " + string(payload)), nil
}

// Guards against a handler that gets a wrong sender's name, and against errors that lose their fault type or leader on the
// way back to the caller.
func TestCallCarriesAnswersAndTypedFailures(t *testing.T) {
	folder := makeKeys(t, keys.RoleHost, day, "a", "b")
	b := startLink(t, folder, "b", nil, echo)
	a := startLink(t, folder, "a", map[unit.HostName]string{"b": b.Address()}, echo)
	answer, err := a.Call(t.Context(), "b", "claim", []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "a claim x")
	_, err = a.Call(t.Context(), "b", "fail", nil)
	assert.Assert(t, errorx.IsOfType(err, fault.NotLeader))
	leader, ok := fault.LeaderOf(err)
	assert.Assert(t, ok)
	assert.Equal(t, leader, "entry-2")
}

// Guards against one-way messages that never reach the handler.
func TestSendReachesTheHandler(t *testing.T) {
	folder := makeKeys(t, keys.RoleHost, day, "a", "b")
	received := make(chan string, 1)
	b := startLink(t, folder, "b", nil, func(_ context.Context, _ unit.HostName, kind string, _ []byte) ([]byte, error) {
		received <- kind
		return nil, nil
	})
	a := startLink(t, folder, "a", map[unit.HostName]string{"b": b.Address()}, echo)
	a.Send("b", "gossip", []byte("x"))
	assert.Equal(t, <-received, "gossip")
}

// Guards against accepting peers whose certificate is signed by another authority, issued to an operator, expired or issued
// to another host.
func TestRefusesPeersWithoutAValidHostCertificate(t *testing.T) {
	serverKeys := makeKeys(t, keys.RoleHost, day, "b", "a")
	operatorKeys := t.TempDir()
	copyAuthority(t, serverKeys, operatorKeys)
	authority, err := keys.Open(operatorKeys)
	assert.NilError(t, err)
	assert.NilError(t, authority.Issue(operatorKeys, "a", keys.RoleOperator, time.Now(), day))
	expiredKeys := t.TempDir()
	copyAuthority(t, serverKeys, expiredKeys)
	assert.NilError(t, authority.Issue(expiredKeys, "a", keys.RoleHost, time.Now().Add(-2*day), day))
	b := startLink(t, serverKeys, "b", nil, echo)
	tests := []struct {
		name   string
		folder string
		peer   unit.HostName
	}{
		{"another authority", makeKeys(t, keys.RoleHost, day, "a"), "b"},
		{"an operator's certificate", operatorKeys, "b"},
		{"an expired certificate", expiredKeys, "b"},
		{"another host's name at that address", serverKeys, "c"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := startLink(t, test.folder, "a", map[unit.HostName]string{test.peer: b.Address()}, echo)
			_, err := a.Call(t.Context(), test.peer, "claim", nil)
			assert.Assert(t, err != nil, "the call was answered")
		})
	}
}

// Guards against a server that doesn't require a client certificate.
func TestRefusesAClientWithoutCertificate(t *testing.T) {
	folder := makeKeys(t, keys.RoleHost, day, "b")
	b := startLink(t, folder, "b", nil, echo)
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocolName}}
	connection, err := quic.DialAddr(t.Context(), b.Address(), config, quicConfig(idleTimeout))
	if err == nil {
		_, err = connection.AcceptStream(t.Context())
	}
	assert.Assert(t, err != nil)
}

// Guards against closing a connection, with all calls on it, because the peer cancelled one call before its request was
// read. A host whose process was suspended finds many such calls when it resumes.
func TestKeepsTheConnectionWhenACallIsGivenUp(t *testing.T) {
	folder := makeKeys(t, keys.RoleHost, day, "a", "b")
	b := startLink(t, folder, "b", nil, echo)
	own, err := identity.New(folder, "a", time.Now)
	assert.NilError(t, err)
	connection, err := quic.DialAddr(t.Context(), b.Address(), own.Client(protocolName, "b"), quicConfig(idleTimeout))
	assert.NilError(t, err)
	defer func() { _ = connection.CloseWithError(0, "") }()
	for range 3 {
		stream, err := connection.OpenStreamSync(t.Context())
		assert.NilError(t, err)
		_, err = stream.Write([]byte{frameVersion, 0, 0, 0, 9})
		assert.NilError(t, err)
		stream.CancelWrite(0)
		_, _ = io.ReadAll(stream) // returns when the server has cancelled its side of the stream
	}
	stream, err := connection.OpenStreamSync(t.Context())
	assert.NilError(t, err)
	_, err = writeFrame(stream, envelope{Kind: "claim", Payload: []byte("x")})
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	_, _, err = readFrame(stream, newMemory())
	assert.NilError(t, err)
}

// Guards against a key rotation that needs a restart: new connections must use the new authority and certificates as soon as
// their files have been replaced.
func TestRotatesKeysWithoutARestart(t *testing.T) {
	folder := makeKeys(t, keys.RoleHost, day, "a", "b")
	clock := time.Now()
	own, err := identity.New(folder, "b", func() time.Time { return clock })
	assert.NilError(t, err)
	before, err := own.Server(protocolName).GetCertificate(nil)
	assert.NilError(t, err)
	authority, err := keys.New(folder, time.Now())
	assert.NilError(t, err)
	assert.NilError(t, authority.Issue(folder, "b", keys.RoleHost, time.Now(), day))
	clock = clock.Add(time.Minute)
	after, err := own.Server(protocolName).GetCertificate(nil)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Equal(before.Certificate[0], after.Certificate[0]))
}

// Guards against packets of other protocols on the UDP port that stop the host from serving its peers.
func TestSurvivesForeignBytes(t *testing.T) {
	folder := makeKeys(t, keys.RoleHost, day, "a", "b")
	b := startLink(t, folder, "b", nil, echo)
	sender, err := net.Dial("udp", b.Address())
	assert.NilError(t, err)
	for range 20 {
		_, err = sender.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		assert.NilError(t, err)
	}
	a := startLink(t, folder, "a", map[unit.HostName]string{"b": b.Address()}, echo)
	_, err = a.Call(t.Context(), "b", "claim", nil)
	assert.NilError(t, err)
}

// Guards against a decoder that accepts another version or an oversize body, or whose errors have no fault type.
func FuzzReadFrame(f *testing.F) {
	var good bytes.Buffer
	_, err := writeFrame(&good, envelope{Kind: "claim", Payload: []byte("x")})
	assert.NilError(f, err)
	f.Add(good.Bytes())
	f.Add([]byte{2, 0, 0, 0, 1, 0})
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, read, err := readFrame(bytes.NewReader(data), newMemory())
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, fault.BadPeer) || errorx.IsOfType(err, fault.TooLarge) ||
				errorx.IsOfType(err, fault.BrokenAnswer), "%v", err)
			return
		}
		assert.Assert(t, data[0] == frameVersion && read <= len(data))
		_ = e.decodeError()
	})
}

// newMemory returns the memory of one message.
func newMemory() *buffermemory.Share {
	return buffermemory.New(minMessageMemory, fault.Overloaded).Open("")
}

// Guards against a frame that takes all the memory that it announces before it arrives, and against messages that together take more
// than they may.
func TestAFrameTakesMemoryAsItArrives(t *testing.T) {
	frame := func(arrives int) io.Reader {
		return bytes.NewReader(append([]byte{frameVersion, 1, 0, 0, 0}, make([]byte, arrives)...)) // announces 16 MiB
	}
	budget := buffermemory.New(minMessageMemory, fault.Overloaded)
	cases := []struct {
		arrives int
		most    int64
	}{{0, firstBodyBytes}, {100, firstBodyBytes}, {1 << 20, 2 << 20}, {MaxFrameBytes, MaxFrameBytes}}
	for _, c := range cases {
		memory := budget.Open("")
		_, _, err := readFrame(frame(c.arrives), memory)
		assert.Assert(t, err != nil)
		assert.Assert(t, memory.Bytes() <= c.most, "%d of %d", memory.Bytes(), c.most)
		memory.Close()
	}
	held := budget.Open("")
	assert.NilError(t, held.Grow(MaxFrameBytes))
	_, _, err := readFrame(frame(MaxFrameBytes), budget.Open(""))
	assert.Assert(t, errorx.IsOfType(err, fault.Overloaded), "%v", err)
}

func copyAuthority(t *testing.T, from, to string) {
	t.Helper()
	for _, name := range []string{keys.AuthorityFile, keys.AuthorityKeyFile} {
		data, err := os.ReadFile(filepath.Join(from, name))
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(to, name), data, 0o600))
	}
}

// Guards against a restarted host that can't be called until the old connections of its peers reach their idle timeout.
func TestCallReachesARestartedHost(t *testing.T) {
	folder := makeKeys(t, keys.RoleHost, day, "a", "b")
	own, err := identity.New(folder, "b", time.Now)
	assert.NilError(t, err)
	first, err := New(Options{Name: "b", Listen: "127.0.0.1:0", Identity: own, Handler: echo})
	assert.NilError(t, err)
	ctx, stopFirst := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- first.Run(ctx) }()
	a := startLink(t, folder, "a", map[unit.HostName]string{"b": first.Address()}, echo)
	_, err = a.Call(t.Context(), "b", "claim", nil)
	assert.NilError(t, err)
	// The socket is closed first, so that the peer gets no message that the connection was closed.
	assert.NilError(t, first.transport.Conn.Close())
	stopFirst()
	<-ended
	second, err := New(Options{Name: "b", Listen: first.Address(), Identity: own, Handler: echo})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { ended <- second.Run(ctx) }()
	limited, cancel := context.WithTimeout(t.Context(), idleTimeout/2)
	defer cancel()
	for err = errNotCalled; err != nil; {
		if limited.Err() != nil {
			t.Fatalf("the restarted host can't be called before the idle timeout: %v", err)
		}
		attempt, end := context.WithTimeout(limited, 200*time.Millisecond)
		_, err = a.Call(attempt, "b", "claim", nil)
		end()
	}
}

var errNotCalled = fault.Internal.New("not called yet")

// Guards against streams whose reader doesn't learn that they broke off, or whose handler doesn't learn that the reader has left.
func TestStreams(t *testing.T) {
	left := make(chan struct{})
	streams := map[string]StreamHandler{
		"whole": func(_ context.Context, from unit.HostName, payload []byte, answer StreamWriter) error {
			_, err := answer.Write(append([]byte(from+" "), payload...))
			return err
		},
		"broken": func(_ context.Context, _ unit.HostName, _ []byte, answer StreamWriter) error {
			_, _ = answer.Write([]byte("part"))
			return fault.BrokenAnswer.New("the rest is lost")
		},
		"endless": func(ctx context.Context, _ unit.HostName, _ []byte, answer StreamWriter) error {
			_, _ = answer.Write([]byte("part"))
			<-ctx.Done()
			close(left)
			return ctx.Err()
		},
	}
	folder := makeKeys(t, keys.RoleHost, day, "a", "b")
	own, err := identity.New(folder, "b", time.Now)
	assert.NilError(t, err)
	b, err := New(Options{Name: "b", Listen: "127.0.0.1:0", Identity: own, Handler: echo, Streams: streams})
	assert.NilError(t, err)
	go func() { _ = b.Run(t.Context()) }()
	a := startLink(t, folder, "a", map[unit.HostName]string{"b": b.Address(), "gone": "127.0.0.1:1"}, echo)

	whole, err := a.OpenStream(t.Context(), "b", "whole", []byte("x"))
	assert.NilError(t, err)
	data, err := io.ReadAll(whole)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "a x")
	assert.NilError(t, whole.Close())

	broken, err := a.OpenStream(t.Context(), "b", "broken", nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(broken)
	assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%v", err)
	assert.NilError(t, broken.Close())

	endless, err := a.OpenStream(t.Context(), "b", "endless", nil)
	assert.NilError(t, err)
	_, err = io.ReadFull(endless, make([]byte, 4))
	assert.NilError(t, err)
	assert.NilError(t, endless.Close())
	<-left

	_, err = a.OpenStream(t.Context(), "gone", "whole", nil)
	assert.Assert(t, errorx.IsOfType(err, fault.Unreachable), "%v", err)
}
