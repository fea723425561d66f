// Package link transports calls (request and answer) and one-way messages between the system's own processes over QUIC with
// mutual TLS. Every message has its own stream, so that a large message doesn't delay the others.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/buffermemory"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/network/handshake"
	"github.com/citronglade/citronglade/internal/network/identity"
	"github.com/citronglade/citronglade/internal/network/keys"
)

const (
	protocolName = "citronglade/1"
	// idleTimeout closes connections to peers that don't respond, as in a network partition, so that a later call dials
	// again. QUIC keep-alive is off because its packets took most of an idle host's processor time; connections in use
	// carry gossip or a confirmation more often than this anyway.
	idleTimeout = 5 * time.Second
	dialTimeout = time.Second
	// handlerTimeout bounds the time that the handler works on one incoming message, also when the sender has gone.
	handlerTimeout = 30 * time.Second
	// maxStreams bounds the concurrent incoming calls, and likewise the one-way messages, of one connection.
	maxStreams = 2048
	// sendQueueLength bounds the one-way messages that wait to be sent to a peer. Further ones are dropped: senders must
	// tolerate the loss of one-way messages.
	sendQueueLength = 1024
	// sendWorkers is the number of goroutines that send the one-way messages to a peer.
	sendWorkers = 4
	// minMessageMemory is the least memory for messages that are being received and handled: that of two of the largest.
	minMessageMemory = 2 * MaxFrameBytes
)

var messagesRefused = metrics.NewCounter("citronglade_link_messages_refused_total")

// Handler handles one incoming call or one-way message from the host named from. The answer to a one-way message is ignored.
type Handler func(ctx context.Context, from unit.HostName, kind string, payload []byte) ([]byte, error)

// StreamHandler handles one incoming call that the host named from answers with a stream of bytes. The stream ends when it returns. After
// an error the caller gets no regular end.
type StreamHandler func(ctx context.Context, from unit.HostName, payload []byte, answer StreamWriter) error

// StreamWriter is the writing end of an answer's stream. A caller that reads slowly holds up its writes.
type StreamWriter interface {
	io.Writer
	SetWriteDeadline(at time.Time) error
}

// Options configure a Link.
type Options struct {
	// Name is this host's name, as in its certificate.
	Name unit.HostName
	// Listen is the UDP address to listen on, as IP:port.
	Listen string
	// Peers maps the names of other hosts to their IP:port.
	Peers map[unit.HostName]string
	// Resolve finds the IP:port of a host that isn't in Peers. If it is nil, such hosts can't be reached.
	Resolve func(name unit.HostName) (address string, ok bool)
	// IdleTimeout is the time after which connections without traffic are closed, 5 s by default.
	IdleTimeout time.Duration
	// MessageMemory is the memory in bytes for all messages that are being received and handled, at least 32 MiB. Those that find none
	// aren't handled.
	MessageMemory int64
	// Memory is that of the process in bytes, 0 if it isn't known. It limits the handshakes.
	Memory   int64
	Identity *identity.Identity
	Handler  Handler
	// Streams are the handlers of the kinds of calls that are answered with a stream.
	Streams map[string]StreamHandler
}

// Link manages the connections between this process and its peers. It is safe for concurrent use.
type Link struct {
	options   Options
	transport *quic.Transport
	listener  *quic.Listener

	mu         sync.Mutex
	peers      map[unit.HostName]*peer
	runContext context.Context // the context of Run; nil until Run is called

	memory *buffermemory.Budget // for messages

	bytesSent     atomic.Uint64
	bytesReceived atomic.Uint64
}

type peer struct {
	name    unit.HostName
	address string
	queue   chan envelope // one-way messages to be sent

	mu         sync.Mutex
	connection *quic.Conn // dialled by this process; nil until first used and after drop
}

// queueSender sends the queued one-way messages of one peer.
type queueSender struct {
	link *Link
	peer *peer
}

// New binds the UDP socket and starts to listen. Run accepts the connections.
func New(options Options) (*Link, error) {
	address, err := net.ResolveUDPAddr("udp", options.Listen)
	if err != nil {
		return nil, fault.BadSetting.Wrap(err, "cannot use %q as an address", options.Listen)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fault.BadSetting.Wrap(err, "cannot listen on %s", options.Listen)
	}
	reset, err := options.Identity.ResetKey()
	if err != nil {
		return nil, err
	}
	// Without a stateless reset key a restarted host ignores packets on the connections that its peers still hold open, and
	// every call on these fails until they reach their idle timeout.
	resetKey := quic.StatelessResetKey(reset)
	if options.IdleTimeout == 0 {
		options.IdleTimeout = idleTimeout
	}
	handshakes := handshake.New(options.Memory)
	transport := &quic.Transport{Conn: socket, StatelessResetKey: &resetKey, ConnContext: handshakes.Begin, VerifySourceAddress: handshakes.Verify}
	listener, err := transport.Listen(options.Identity.Server(protocolName), quicConfig(options.IdleTimeout))
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot listen on %s", options.Listen)
	}
	link := &Link{
		options: options, transport: transport, listener: listener, peers: map[unit.HostName]*peer{},
		memory: buffermemory.New(max(options.MessageMemory, minMessageMemory), fault.Overloaded),
	}
	for name, address := range options.Peers {
		link.peers[name] = newPeer(name, address)
	}
	return link, nil
}

func newPeer(name unit.HostName, address string) *peer {
	return &peer{name: name, address: address, queue: make(chan envelope, sendQueueLength)}
}

// Address returns the address that the link listens on.
func (l *Link) Address() string {
	return l.transport.Conn.LocalAddr().String()
}

// Peers returns the names of the configured and of the resolved peers, in no particular order.
func (l *Link) Peers() []unit.HostName {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]unit.HostName, 0, len(l.peers))
	for name := range l.peers {
		names = append(names, name)
	}
	return names
}

// Traffic returns the payload bytes sent and received so far, frame headers included.
func (l *Link) Traffic() (sent, received uint64) {
	return l.bytesSent.Load(), l.bytesReceived.Load()
}

// Run accepts connections until ctx ends, then closes all of them.
func (l *Link) Run(ctx context.Context) error {
	l.mu.Lock()
	l.runContext = ctx
	for _, p := range l.peers {
		l.startWorkers(p)
	}
	l.mu.Unlock()
	defer l.close()
	for {
		connection, err := l.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fault.Internal.Wrap(err, "cannot accept connections")
		}
		handshake.End(connection.Context())
		go l.serveConnection(ctx, connection)
	}
}

// startWorkers starts the goroutines that send the one-way messages of p, if Run was called. Run starts those of the peers
// that are known by then. l.mu must be held.
func (l *Link) startWorkers(p *peer) {
	if l.runContext == nil {
		return
	}
	for range sendWorkers {
		go queueSender{link: l, peer: p}.run(l.runContext)
	}
}

// peer returns the peer with the given name. The address of a host that isn't in Options.Peers is resolved at its first use.
func (l *Link) peer(name unit.HostName) (*peer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.peers[name]; ok {
		return p, true
	}
	if l.options.Resolve == nil {
		return nil, false
	}
	address, ok := l.options.Resolve(name)
	if !ok {
		return nil, false
	}
	p := newPeer(name, address)
	l.peers[name] = p
	l.startWorkers(p)
	return p, true
}

// Call sends one message to the host named to and waits for the answer. Errors of the remote handler keep their fault type.
// A failure to connect or to open a stream is fault.Unreachable; a later one without an answer is fault.BrokenAnswer.
func (l *Link) Call(ctx context.Context, to unit.HostName, kind string, payload []byte) ([]byte, error) {
	if to == l.options.Name {
		return l.options.Handler(ctx, to, kind, payload)
	}
	p, ok := l.peer(to)
	if !ok {
		return nil, fault.NotFound.New("host %q isn't in the settings", to)
	}
	connection, stream, err := l.openStream(ctx, p)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	answer, err := l.roundTrip(stream, to, envelope{Kind: kind, Payload: payload})
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The peer may have lost the state of this connection, so the next call dials again instead of waiting for its idle
		// timeout.
		p.drop(connection)
	}
	return answer, err
}

// openStream opens a stream to p. It fails with fault.Unreachable.
func (l *Link) openStream(ctx context.Context, p *peer) (*quic.Conn, *quic.Stream, error) {
	connection, err := l.connect(ctx, p)
	if err != nil {
		return nil, nil, err
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		p.drop(connection)
		return nil, nil, fault.Unreachable.Wrap(err, "cannot open a stream to %s", p.name)
	}
	return connection, stream, nil
}

// Send queues a one-way message for the host named to. It never blocks; the message is lost when the queue is full or the
// peer can't be reached.
func (l *Link) Send(to unit.HostName, kind string, payload []byte) {
	p, ok := l.peer(to)
	if !ok {
		return
	}
	select {
	case p.queue <- envelope{Kind: kind, Payload: payload}:
	default:
	}
}

// roundTrip sends the request on the stream and reads the answer.
func (l *Link) roundTrip(stream *quic.Stream, to unit.HostName, request envelope) ([]byte, error) {
	written, err := writeFrame(stream, request)
	l.bytesSent.Add(uint64(written))
	if err != nil {
		return nil, fault.BrokenAnswer.Wrap(err, "cannot send %q to %s", request.Kind, to)
	}
	if err := stream.Close(); err != nil {
		return nil, fault.BrokenAnswer.Wrap(err, "cannot send %q to %s", request.Kind, to)
	}
	memory := l.memory.Open("")
	defer memory.Close()
	answer, read, err := readFrame(stream, memory)
	l.bytesReceived.Add(uint64(read))
	if errorx.IsOfType(err, fault.Overloaded) {
		messagesRefused.Inc()
		stream.CancelRead(abortedStream)
		return nil, fault.BrokenAnswer.Wrap(err, "cannot read the answer of %s", to)
	}
	if err != nil {
		return nil, err
	}
	return answer.Payload, answer.decodeError()
}

// connect returns the open connection to p, or dials a new one.
func (l *Link) connect(ctx context.Context, p *peer) (*quic.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connection != nil && p.connection.Context().Err() == nil {
		return p.connection, nil
	}
	address, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return nil, fault.BadSetting.Wrap(err, "cannot use %q as the address of %s", p.address, p.name)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := l.transport.Dial(ctx, address, l.options.Identity.Client(protocolName, p.name), quicConfig(l.options.IdleTimeout))
	if err != nil {
		return nil, fault.Unreachable.Wrap(err, "cannot connect to %s at %s", p.name, p.address)
	}
	p.connection = connection
	return connection, nil
}

// drop makes the next call dial a new connection, unless another call has already replaced this one. The connection isn't
// closed, because other calls may still use it.
func (p *peer) drop(connection *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connection == connection {
		p.connection = nil
	}
}

func (s queueSender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-s.peer.queue:
			if err := s.send(ctx, message); err != nil {
				klog.V(2).Infof("link: cannot send one-way message %s to %s: %v", message.Kind, s.peer.name, err)
			}
		}
	}
}

func (s queueSender) send(ctx context.Context, message envelope) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := s.link.connect(ctx, s.peer)
	if err != nil {
		return err
	}
	stream, err := connection.OpenUniStreamSync(ctx)
	if err != nil {
		s.peer.drop(connection)
		return fault.Unreachable.Wrap(err, "cannot open a stream to %s", s.peer.name)
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelWrite(0) })
	defer stop()
	written, err := writeFrame(stream, message)
	s.link.bytesSent.Add(uint64(written))
	if err != nil {
		return err
	}
	return stream.Close()
}

func (l *Link) serveConnection(ctx context.Context, connection *quic.Conn) {
	name, role := identity.Peer(connection.ConnectionState().TLS)
	if role != keys.RoleHost {
		klog.Warningf("link: refused %s %q at %s: only hosts may connect here", role, name, connection.RemoteAddr())
		_ = connection.CloseWithError(1, "only hosts may connect here")
		return
	}
	from := unit.HostName(name)
	go l.serveOneWay(ctx, connection, from)
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		go l.serveCall(connection, from, stream)
	}
}

func (l *Link) serveOneWay(ctx context.Context, connection *quic.Conn, from unit.HostName) {
	for {
		stream, err := connection.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		go func() {
			memory := l.memory.Open("")
			defer memory.Close()
			message, ok := l.receive(connection, from, stream, memory)
			if !ok {
				stream.CancelRead(abortedStream)
				return
			}
			if _, err := l.handle(connection.Context(), from, message); err != nil {
				klog.V(2).Infof("link: cannot handle one-way message %s from %s: %v", message.Kind, from, err)
			}
		}()
	}
}

func (l *Link) serveCall(connection *quic.Conn, from unit.HostName, stream *quic.Stream) {
	memory := l.memory.Open("")
	defer memory.Close()
	request, ok := l.receive(connection, from, stream, memory)
	if !ok {
		stream.CancelRead(abortedStream)
		// A stream whose sending side stays open would count against the peer's stream limit until the connection ends.
		stream.CancelWrite(0)
		return
	}
	if handler, ok := l.options.Streams[request.Kind]; ok {
		l.serveStream(from, stream, handler, request.Payload)
		return
	}
	payload, err := l.handle(stream.Context(), from, request)
	answer := envelope{Payload: payload}
	if err != nil {
		answer = encodeError(err)
	}
	written, err := writeFrame(stream, answer)
	l.bytesSent.Add(uint64(written))
	if err != nil {
		klog.V(2).Infof("link: cannot send the answer to call %s to %s: %v", request.Kind, from, err)
	}
	_ = stream.Close()
}

// receive reads one message. The connection of a peer that sends an invalid frame is closed, because its other frames can't
// be trusted either. A message that finds no memory isn't handled.
func (l *Link) receive(connection *quic.Conn, from unit.HostName, r io.Reader, memory *buffermemory.Share) (envelope, bool) {
	message, read, err := readFrame(r, memory)
	l.bytesReceived.Add(uint64(read))
	if err == nil {
		return message, true
	}
	if isAborted(err) || connection.Context().Err() != nil {
		return message, false
	}
	if errorx.IsOfType(err, fault.Overloaded) {
		messagesRefused.Inc()
		klog.Warningf("link: no memory for a message of %s: %v", from, err)
		return message, false
	}
	klog.Warningf("link: closed the connection of %s after an invalid frame: %v", from, err)
	_ = connection.CloseWithError(2, fault.Name(err))
	return message, false
}

// isAborted reports whether the peer cancelled the stream of one message, as a caller does when its deadline has passed.
// errors.As doesn't unwrap errorx errors, so their causes are followed one by one.
func isAborted(err error) bool {
	for typed := errorx.Cast(err); typed != nil; typed = errorx.Cast(err) {
		err = typed.Cause()
	}
	var aborted *quic.StreamError
	return errors.As(err, &aborted)
}

func (l *Link) handle(ctx context.Context, from unit.HostName, message envelope) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	return l.options.Handler(ctx, from, message.Kind, message.Payload)
}

func (l *Link) close() {
	_ = l.listener.Close()
	_ = l.transport.Close()
	_ = l.transport.Conn.Close()
}

func quicConfig(idle time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idle,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: maxStreams,
	}
}
