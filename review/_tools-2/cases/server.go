package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// server is a stand-in of one replica.
type server struct {
	c       *cluster
	id      string
	service string
	address string
	born    int64
	// serve answers a request that the replica runs.
	serve func(s *server, w http.ResponseWriter, q *http.Request, body []byte)

	mu       sync.Mutex
	sequence int
}

// newServer starts a replica. It isn't known to the system before report.
func newServer(c *cluster, number int, service string, serve func(*server, http.ResponseWriter, *http.Request, []byte)) (*server, error) {
	s := &server{
		c: c, id: fmt.Sprintf("i-%s-%d", service, number), service: service, address: address(fmt.Sprint(c.network, ".", 100+number), serverPort),
		born: time.Now().UnixMilli(), serve: serve,
	}
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(socket) }()
	return s, nil
}

// report registers the replica and sends its status reports for as long as the case runs.
func (s *server) report() {
	go func() {
		for next := 0; ; time.Sleep(heartbeat) {
			for range s.c.cores() {
				core := s.c.cores()[next%len(s.c.cores())]
				if s.reportTo(core) {
					break
				}
				next++
			}
		}
	}()
}

func (s *server) reportTo(core *host) bool {
	s.mu.Lock()
	s.sequence++
	document := map[string]any{
		"Service": s.service, "Address": s.address, "Zone": zone, "Version": "v1", "Slots": 64, "State": "ready", "ColdRemainingMs": 0,
		"Sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	status, err := s.c.call(http.MethodPut, "http://"+address(core.ip, controlPort)+"/api/instances/"+s.id, document, time.Second)
	return err == nil && status == http.StatusOK
}

func (s *server) handle(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Instance", s.id)
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/health":
	case strings.HasPrefix(q.URL.Path, "/api/"):
		w.WriteHeader(http.StatusBadRequest)
	default:
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		s.serve(s, w, q, body)
	}
}
