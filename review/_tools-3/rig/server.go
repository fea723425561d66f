package rig

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is HeartbeatMs.
const heartbeat = 1200 * time.Millisecond

// Server is one server (replica) of a plain service, as PROTOCOL.md describes it.
type Server struct {
	platform *Platform
	Service  string
	Zone     string
	Slots    int
	Queue    int
	Work     func(r *http.Request) time.Duration
	// OnRun is called when a request begins to run.
	OnRun func(s *Server, id string, r *http.Request)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	listener net.Listener
	sockets  map[net.Conn]struct{}
	down     chan struct{} // closed at the end of the lifetime
	slots    chan struct{}
	waiting  atomic.Int64
	lifetime int
	name     string
	address  string
}

// NewServer returns a server that is down.
func (p *Platform) NewServer(name, service, zone string, slots int) *Server {
	return &Server{platform: p, name: name, Service: service, Zone: zone, Slots: slots, Queue: 24}
}

// Begin starts a new lifetime, at the address of the one before.
func (s *Server) Begin() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", cmp.Or(s.address, s.platform.prefix+"200:0"))
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.lifetime++
	s.id, s.born, s.sequence = fmt.Sprintf("i-%s-%d", s.name, s.lifetime), time.Now().UnixMilli(), 0
	s.listener, s.sockets, s.down = listener, map[net.Conn]struct{}{}, make(chan struct{})
	s.slots = make(chan struct{}, s.Slots)
	s.waiting.Store(0)
	s.platform.Record.Add("server", s.id, "begins at", s.address)
	go s.accept(listener, s.id, s.down, s.slots)
	go s.report(s.id, s.down)
	return nil
}

// Crash ends the lifetime without a word: its address refuses channels, and open ones are reset.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isClosed(s.down) {
		return
	}
	s.platform.Record.Add("server", s.id, "crashes")
	close(s.down)
	_ = s.listener.Close()
	for c := range s.sockets {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// ID returns the id of the lifetime.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Address returns the address for requests.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (s *Server) accept(listener net.Listener, id string, down, slots chan struct{}) {
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, id, down, slots) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case s.id != id:
			case state == http.StateNew:
				s.sockets[c] = struct{}{}
				if isClosed(down) {
					_ = c.Close()
				}
			case state == http.StateClosed:
				delete(s.sockets, c)
			}
		},
	}
	_ = server.Serve(listener) // returns when the lifetime ends
}

// report sends the status reports of one lifetime: each to one control machine after the other, until one acknowledges it within a second.
func (s *Server) report(id string, down chan struct{}) {
	next := s.platform.Core[rand.IntN(len(s.platform.Core))].Control()
	for first := true; ; first = false {
		if !first {
			select {
			case <-down:
				return
			case <-time.After(heartbeat):
			}
		}
		for i := range s.platform.Core {
			s.mu.Lock()
			s.sequence++
			body := map[string]any{
				"Service": s.Service, "Address": s.address, "Zone": s.Zone, "Version": "v1", "Slots": s.Slots, "State": "ready",
				"ColdRemainingMs": 0, "Sequence": s.sequence, "born": s.born,
			}
			s.mu.Unlock()
			if isClosed(down) {
				return
			}
			status, answer := s.platform.put(next, "/api/instances/"+id, body)
			if first || status != http.StatusOK {
				s.platform.Record.Add("report", id, "to", next, fmt.Sprint("status ", status))
			}
			if status/100 == 2 {
				var named struct{ HeartbeatAddr string }
				if json.Unmarshal(answer, &named) == nil && named.HeartbeatAddr != "" {
					next = named.HeartbeatAddr
				}
				break
			}
			next = s.platform.Core[(i+rand.IntN(len(s.platform.Core)))%len(s.platform.Core)].Control()
		}
	}
}

// refuse answers that the request hasn't run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, id string, down, slots chan struct{}) {
	request := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // closes the channel without an answer
	}
	w.Header().Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if int(s.waiting.Add(1)) > s.Slots+s.Queue {
		s.waiting.Add(-1)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	// A server stops work at the time budget that it receives.
	var budget <-chan time.Time
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer timer.Stop()
		budget = timer.C
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-budget:
		refuse(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-down:
		panic(http.ErrAbortHandler)
	}
	if isClosed(down) {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		w.Header().Set("X-Instance", id)
		return
	}
	if request == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	s.platform.Record.Add("run", request, "at", id, "of", s.Service, r.Method, r.URL.RequestURI(), fmt.Sprint(len(body), " B"))
	if s.OnRun != nil {
		s.OnRun(s, request, r)
	}
	w.Header().Set("X-Server-Stamp", id+"."+request)
	select {
	case <-time.After(s.Work(r)):
		_, _ = io.WriteString(w, strings.Repeat(id+" "+request+"\n", 20)) //nolint:gosec // plain text for the consumers of this program
	case <-budget:
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-down:
		panic(http.ErrAbortHandler)
	}
}
