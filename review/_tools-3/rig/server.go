package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is one server (replica) of a plain service, as PROTOCOL.md describes it.
type Server struct {
	platform *Platform
	Service  string
	Zone     string
	Slots    int
	Queue    int
	Work     func(r *http.Request) time.Duration
	// Models is what an engine says of its models, nil for a plain service. Answer writes an answer of another kind than Answer's.
	Models []map[string]any
	Answer func(w http.ResponseWriter, r *http.Request, stamp string)
	// OnRun is called when a request begins to run.
	OnRun func(s *Server, id string, r *http.Request, body []byte)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
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

// Begin starts a new lifetime.
func (s *Server) Begin() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", cmp.Or(s.address, s.platform.prefix+"200:0"))
	if err != nil {
		return err
	}
	s.address = listener.Addr().String() // a restarted server has the address that it had
	s.lifetime++
	s.id, s.born, s.sequence, s.state = fmt.Sprintf("i-%s-%d", s.name, s.lifetime), time.Now().UnixMilli(), 0, "ready"
	s.listener, s.sockets, s.down = listener, map[net.Conn]struct{}{}, make(chan struct{})
	s.slots = make(chan struct{}, s.Slots)
	s.waiting.Store(0)
	s.platform.Record.Add("server", s.id, "begins at", listener.Addr().String())
	go s.accept(listener, s.id, s.down)
	go s.report(s.id, s.down)
	return nil
}

// Crash ends the lifetime without a word: its address refuses channels, and open ones are reset.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.down:
		return
	default:
	}
	s.platform.Record.Add("server", s.id, "crashes")
	_ = s.listener.Close()
	close(s.down)
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

func (s *Server) accept(listener net.Listener, id string, down chan struct{}) {
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, id, down) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.id != id {
				return
			}
			switch state {
			case http.StateNew:
				s.sockets[c] = struct{}{}
			case http.StateClosed, http.StateHijacked:
				delete(s.sockets, c)
			case http.StateActive, http.StateIdle:
			}
		},
	}
	_ = server.Serve(listener)
}

// report sends the status reports of one lifetime.
func (s *Server) report(id string, down chan struct{}) {
	for first := true; ; first = false {
		if !first {
			select {
			case <-down:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
		s.mu.Lock()
		if s.id != id {
			s.mu.Unlock()
			return
		}
		s.sequence++
		body := map[string]any{
			"Service": s.Service, "Address": s.listener.Addr().String(), "Zone": s.Zone, "Version": "v1", "Slots": s.Slots, "State": s.state,
			"ColdRemainingMs": 0, "Sequence": s.sequence, "born": s.born,
		}
		if s.Models != nil {
			body["Stage"], body["Models"] = "both", s.Models
		}
		s.mu.Unlock()
		select {
		case <-down:
			return
		default:
		}
		status, _ := s.platform.Order(http.MethodPut, "/api/instances/"+id, body, 3*time.Second)
		if first || status != http.StatusOK {
			s.platform.Record.Add("report", id, fmt.Sprint("status ", status))
		}
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, id string, down chan struct{}) {
	request := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", request)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance", id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case s.Models == nil:
	case r.URL.Path == "/api/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "both", "Models": s.Models, "Busy": false, "Sequence": 0, "Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 116883, "Handles": 0})
		return
	case r.URL.Path == "/api/kv-events":
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"Epoch": 1, "Next": 1, "Lost": false, "Events": []any{}})
		return
	}
	if int(s.waiting.Add(1)) > s.Slots+s.Queue {
		s.waiting.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	case <-down:
		return
	}
	s.platform.Record.Add("run", request, "at", id)
	if s.OnRun != nil {
		s.OnRun(s, request, r, body)
	}
	select {
	case <-time.After(s.Work(r)):
	case <-r.Context().Done():
		return
	case <-down:
		return
	}
	w.Header().Set("X-Server-Stamp", id+"."+request)
	if s.Answer != nil {
		s.Answer(w, r, id+"."+request)
		return
	}
	_, _ = io.WriteString(w, Answer(id, request))
}

// Answer returns the whole body of a server's answer.
func Answer(id, request string) string {
	return strings.Repeat(id+" "+request+"\n", 20)
}
