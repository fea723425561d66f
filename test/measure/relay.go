package main

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// maxDatagram is the size of the receive buffers in bytes; no UDP payload is larger.
const maxDatagram = 65_535

// relay forwards UDP datagrams from one host to the link address of another, and the replies back. While blocked is true, it
// drops the datagrams of both directions without an error, as a network partition does.
type relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	blocked  *atomic.Bool

	mu        sync.Mutex
	upstreams map[string]*net.UDPConn // sockets to the target, by the sender's address
}

func newRelay(to string, blocked *atomic.Bool) (*relay, error) {
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, fault.BadSetting.Wrap(err, "cannot relay to %s", to)
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot open a relay")
	}
	r := &relay{listener: listener, target: target, blocked: blocked, upstreams: map[string]*net.UDPConn{}}
	go r.forward()
	return r, nil
}

func (r *relay) address() string {
	return r.listener.LocalAddr().String()
}

func (r *relay) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.listener.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		upstream, err := r.upstreamFor(from)
		if err == nil && !r.blocked.Load() {
			_, _ = upstream.Write(buffer[:n])
		}
	}
}

// upstreamFor returns the socket that forwards the datagrams of one sender to the target, and opens it if needed.
func (r *relay) upstreamFor(from *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if upstream, ok := r.upstreams[from.String()]; ok {
		return upstream, nil
	}
	upstream, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, err
	}
	r.upstreams[from.String()] = upstream
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			n, err := upstream.Read(buffer)
			if err != nil {
				return
			}
			if !r.blocked.Load() {
				_, _ = r.listener.WriteToUDP(buffer[:n], from)
			}
		}
	}()
	return upstream, nil
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for _, upstream := range r.upstreams {
		_ = upstream.Close()
	}
}
