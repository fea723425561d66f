package rig

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
)

// links passes the datagrams between edge and core machines on, so that single edge machines can be partitioned from all core machines.
type links struct {
	cut     sync.Map // IP address of a machine that is cut off -> true
	sockets []net.PacketConn
	closed  atomic.Bool
}

// startLinks opens a proxy at the edge machines' port of each core machine's address.
func startLinks(core []string, edgePort, corePort int) (*links, error) {
	l := &links{}
	for _, ip := range core {
		socket, err := net.ListenPacket("udp", net.JoinHostPort(ip, strconv.Itoa(edgePort)))
		if err != nil {
			l.close()
			return nil, err
		}
		l.sockets = append(l.sockets, socket)
		go l.serve(socket, net.JoinHostPort(ip, strconv.Itoa(corePort)))
	}
	return l, nil
}

func (l *links) isCut(address net.Addr) bool {
	host, _, _ := net.SplitHostPort(address.String())
	_, cut := l.cut.Load(host)
	return cut
}

func (l *links) serve(socket net.PacketConn, target string) {
	towards := map[string]net.Conn{}
	defer func() {
		for _, c := range towards {
			_ = c.Close()
		}
	}()
	packet := make([]byte, 64<<10)
	for {
		n, from, err := socket.ReadFrom(packet)
		if err != nil {
			if l.closed.Load() {
				return
			}
			continue
		}
		if l.isCut(from) {
			continue
		}
		out := towards[from.String()]
		if out == nil {
			if out, err = net.Dial("udp", target); err != nil {
				continue
			}
			towards[from.String()] = out
			go l.answer(socket, out, from)
		}
		_, _ = out.Write(packet[:n])
	}
}

func (l *links) answer(socket net.PacketConn, out net.Conn, to net.Addr) {
	packet := make([]byte, 64<<10)
	for {
		n, err := out.Read(packet)
		if l.closed.Load() || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the core machine has no process at the moment
		}
		if !l.isCut(to) {
			_, _ = socket.WriteTo(packet[:n], to)
		}
	}
}

func (l *links) close() {
	l.closed.Store(true)
	for _, s := range l.sockets {
		_ = s.Close()
	}
}

// Cut partitions an edge machine from all core machines, silently, until Heal is called. Consumers and servers still reach it.
func (p *Platform) Cut(m *Machine) {
	p.Record.Add("cut", m.Name)
	p.links.cut.Store(m.IP, true)
}

// Heal ends a cut.
func (p *Platform) Heal(m *Machine) {
	p.Record.Add("heal", m.Name)
	p.links.cut.Delete(m.IP)
}
