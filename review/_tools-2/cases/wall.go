package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	isolatedTenant, isolatedKey = "sese880", "ctnfzs989anu6wsjnban"
	otherTenant, otherKey       = "vopa412", "fqasnmgkcuyj8pjbvk9m"
	generations                 = 20 // of each tenant
	generationRoute             = "/lepu270/"
	engineService               = "huvo11a"
)

// cacheEntry is a part in the memory of a replica: the parts before it belong to its name.
type cacheEntry struct {
	salt, parts string
}

// engineCache is the memory of one replica: who has made each part.
type engineCache struct {
	mu     sync.Mutex
	maker  map[*server]map[cacheEntry]string
	broken []string
}

// use looks up the parts of a prompt, adds the missing ones and returns a description of what was found.
func (m *engineCache) use(s *server, id, tenant, salt string, parts []string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.maker[s] == nil {
		m.maker[s] = map[cacheEntry]string{}
	}
	var found []string
	hit := true
	for i, part := range parts {
		entry := cacheEntry{salt, strings.Join(parts[:i+1], ",")}
		maker, known := m.maker[s][entry]
		if hit = hit && known; !hit {
			m.maker[s][entry] = tenant
			continue
		}
		found = append(found, part+" made by "+maker)
		if maker != tenant && (maker == isolatedTenant || tenant == isolatedTenant) {
			m.broken = append(m.broken, fmt.Sprintf("WALL: request %s of tenant %s uses part %s that a request of tenant %s made at %s under cache salt %q; %s is isolated", id, tenant, part, maker, s.id, salt, isolatedTenant))
		}
	}
	if len(found) == 0 {
		return "nothing"
	}
	return strings.Join(found, ", ")
}

// wall sends generations of an isolated tenant and of another one with the same first part. With the disruption they have no X-Token-Count.
func wall(root string, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(root, 3, 1, rec)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	memory := &engineCache{maker: map[*server]map[cacheEntry]string{}}
	serve := func(s *server, w http.ResponseWriter, q *http.Request, _ []byte) {
		id, tenant, salt := q.Header.Get("X-Request-Id"), q.Header.Get("X-Tenant"), q.Header.Get("X-Cache-Salt")
		var parts []string
		for _, part := range strings.Split(q.Header.Get("X-Prompt-Prefix"), ",") {
			name, _, _ := strings.Cut(part, ":")
			parts = append(parts, name)
		}
		found := memory.use(s, id, tenant, salt, parts)
		rec.printf("%s runs %s: tenant %q, X-Cache-Salt %q, X-Expect-Version %q, parts %s, found in its memory: %s", s.id, id, tenant, salt, q.Header.Get("X-Expect-Version"), q.Header.Get("X-Prompt-Prefix"), found)
		w.Header().Set("X-Server-Stamp", "stamp-"+id)
		w.Header().Set("X-Weight-Versions", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i+1)
		}
	}
	var servers []*server
	for i := range 2 {
		s, err := newServer(c, i+1, engineService, true, serve)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	err = c.startAll(wallConfig(), func() {
		for _, s := range servers {
			s.report()
		}
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second) // until both replicas are known
	served := 0
	for i := range generations {
		if time.Since(rec.began) > 90*time.Second {
			break
		}
		for _, tenant := range []struct{ name, key string }{{isolatedTenant, isolatedKey}, {otherTenant, otherKey}} {
			if c.generate(fmt.Sprintf("%016x", 0x1000*(i+1)+len(tenant.name)+int(tenant.key[0])), tenant.name, tenant.key, fmt.Sprintf("5c1e07%02x:800", i%4), i, trouble) {
				served++
			}
		}
	}
	if served < generations {
		return nil, fmt.Errorf("%w: only %d of %d generations were answered", errCannotRun, served, 2*generations)
	}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.broken, nil
}

// generate sends one generation and reports whether it was answered with success.
func (c *cluster) generate(id, tenant, key, shared string, number int, withoutCount bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	url := "http://" + address(c.edges()[0].ip, frontPort) + generationRoute + "2f"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("the prompt"))
	if err != nil {
		return false
	}
	request.Host = "jepu9.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", modelName)
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s,e4402b%02x%02x:250", shared, tenant[0], number))
	request.Header.Set("X-Deadline-Ms", "5000")
	request.Header.Set("X-Key", key)
	if !withoutCount {
		request.Header.Set("X-Token-Count", "1050,80")
	}
	c.record.printf("client of tenant %s sends %s: X-Prompt-Prefix %s, X-Token-Count %q", tenant, id, request.Header.Get("X-Prompt-Prefix"), request.Header.Get("X-Token-Count"))
	answer, err := c.client.Do(request)
	if err != nil {
		c.record.printf("%s gets no answer: %v", id, err)
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.ReadAll(answer.Body)
	c.record.printf("%s is answered with %d, X-Server-Stamp %q", id, answer.StatusCode, answer.Header.Get("X-Server-Stamp"))
	return err == nil && answer.StatusCode == http.StatusOK
}

func wallConfig() any {
	return map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "r-eya6u6s", "Host": "jepu9.example", "PathPrefix": generationRoute, "Type": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 500,
			"Priority": 1, "Service": engineService, "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 400,
		}},
		"Services": []map[string]any{{
			"Name": engineService, "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{
				"Slots": 64, "KvCapacity": 116883, "KvTokenBytes": 18432, "LinkMbps": 370000.0, "Moves": true, "Backups": true, "Stride": 5,
				"MaxConcurrency": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []map[string]any{{"Name": modelName}},
			},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{
			{"Name": isolatedTenant, "ApiKeys": []string{isolatedKey}, "Priority": 1, "Isolated": true},
			{"Name": otherTenant, "ApiKeys": []string{otherKey}, "Priority": 1, "Isolated": false},
		},
	}
}
