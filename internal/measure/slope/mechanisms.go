package slope

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/citronglade/citronglade/internal/admission/share"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/stream"
	"github.com/citronglade/citronglade/internal/control/configuration"
	"github.com/citronglade/citronglade/internal/control/ledger"
	"github.com/citronglade/citronglade/internal/planning/sheet"
	"github.com/citronglade/citronglade/internal/record/chain"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/placement"
	"github.com/citronglade/citronglade/internal/routing/prefix"
)

const (
	pieceTokens = 2000
	promptCount = 1000
)

func measurePlacement() ([]Row, error) {
	var rows []Row
	for _, size := range []struct{ engines, pieces int }{{18, 1_000}, {100, 30_000}, {600, 200_000}} {
		before := heapBytes()
		roster, index := endpoint.New(time.Hour), cache.New(size.pieces)
		for e := range size.engines {
			roster.Apply(1, engineAnnouncement(e))
		}
		fillIndex(index, size.engines, size.pieces)
		memory := heapBytes() - before
		placer, err := placement.New("warm", placement.Dependencies{Roster: roster, Index: index, Seed: 1})
		if err != nil {
			return nil, err
		}
		chains := newChains(8)
		const decisions = 20_000
		began := processorTime()
		for i := range decisions {
			if _, err := placer.Place(2, placement.Request{Kind: endpoint.KindEngine, Name: "taalmodel", Chain: chains[i%promptCount], Urgency: 1}); err != nil {
				return nil, err
			}
		}
		label := fmt.Sprintf("%d engines, %d pieces", size.engines, size.pieces)
		rows = append(rows,
			Row{"placement", label, "one decision", microsecondsPer(processorTime()-began, decisions), "µs"},
			Row{"placement", label, "roster and index", memory / 1e6, "MB"},
		)
	}
	return rows, nil
}

func engineAnnouncement(e int) endpoint.Announcement {
	return endpoint.Announcement{
		Endpoint: unit.EndpointID(fmt.Sprintf("taalmodel-%d", e)), Kind: endpoint.KindEngine, Address: "10.0.0.1:8000",
		Incarnation: 1, Model: "taalmodel", Weights: "w1", Slots: 16, CachePieces: 64, Sequence: 1,
	}
}

func fillIndex(index *cache.Index, engines, pieces int) {
	for p := range pieces {
		digest := unit.Digest{byte(p), byte(p >> 8), byte(p >> 16), 7, byte(p * 31), byte(p * 17)}
		index.Observe(unit.EndpointID(fmt.Sprintf("taalmodel-%d", p%engines)), 1, []unit.Digest{digest}, 1)
	}
}

func newChains(pieces int) []prefix.Chain {
	chains := make([]prefix.Chain, promptCount)
	for i := range chains {
		preamble := bytes.Repeat([]byte(fmt.Sprintf("preamble %d ", i%50)), pieces*pieceTokens*4/24)
		profile := bytes.Repeat([]byte(fmt.Sprintf("profile %d ", i)), pieces*pieceTokens*4/24)
		chains[i] = prefix.New(prefix.Prompt{
			Customer: "utrecht", Model: "taalmodel", Weights: "w1", Messages: []string{string(preamble), string(profile), "question"},
		}, pieceTokens, 4)
	}
	return chains
}

// newSheet returns a sheet in CSV with the given number of customers.
func newSheet(customers int) []byte {
	var text bytes.Buffer
	text.WriteString("kind;name;limit-per-second;burst;weight;token-digest;urgency;deadline-seconds;max-wait-seconds;customer;target;operation;class;repeat\n")
	for i := range customers {
		_, _ = fmt.Fprintf(&text, "customer;customer-%d;%d;20;1;%064x;;;;;;;;\n", i, 1+i%50, i+1)
	}
	text.WriteString("class;urgent;;;;;0;2;1;;;;;\nrule;;;;;;;;;*;taalmodel;*;urgent;idempotent\n")
	return text.Bytes()
}

func measureSheet() ([]Row, error) {
	var rows []Row
	for _, customers := range []int{8, 3_000, 30_000} {
		label := fmt.Sprintf("%d customers", customers)
		began := processorTime()
		parsed, _, err := sheet.Parse("sheet.csv", newSheet(customers))
		if err != nil {
			return nil, err
		}
		parsing := processorTime() - began
		encoded := parsed.Encode()
		before := heapBytes()
		began = processorTime()
		decoded, err := sheet.Decode(encoded)
		if err != nil {
			return nil, err
		}
		decoding := processorTime() - began
		decoded.Authenticate("")
		memory := heapBytes() - before
		runtime.KeepAlive(decoded)
		change, whole, err := updateSizes(parsed)
		if err != nil {
			return nil, err
		}
		rows = append(rows,
			Row{"sheet", label, "parsing and checking", parsing.Seconds() * 1000, "ms"},
			Row{"sheet", label, "decoding on a host", decoding.Seconds() * 1000, "ms"},
			Row{"sheet", label, "memory on a host", memory / 1e6, "MB"},
			Row{"sheet", label, "update with 10 changed rows", float64(change), "B"},
			Row{"sheet", label, "whole update, compressed", float64(whole), "B"},
		)
	}
	return rows, nil
}

// updateSizes returns the encoded sizes in bytes of an update with at most ten changed customers and of a whole
// configuration.
func updateSizes(s *sheet.Sheet) (change, whole int, err error) {
	machine := configuration.New()
	for version := range 2 {
		for i := range min(10, len(s.Customers)) {
			s.Customers[i*len(s.Customers)/10%len(s.Customers)].Limit += float64(version)
		}
		command, err := configuration.EncodeCommand(configuration.Command{Order: &configuration.Order{
			ID: unit.OrderID(fmt.Sprint(version)), Operator: "o", Base: unit.ConfigurationVersion(version), Sheet: s.Encode(),
		}})
		if err != nil {
			return 0, 0, err
		}
		machine.Apply(uint64(version+1), command)
	}
	sizes := make([]int, 2)
	for known := range sizes {
		encoded, err := codec.Marshal(machine.Since(unit.ConfigurationVersion(known)))
		if err != nil {
			return 0, 0, err
		}
		sizes[known] = len(encoded)
	}
	return sizes[1], sizes[0], nil
}

func measureShare() ([]Row, error) {
	var rows []Row
	for _, size := range []struct{ hosts, customers int }{{7, 8}, {100, 3_000}, {330, 30_000}} {
		measured, err := measureShareAt(size.hosts, size.customers)
		if err != nil {
			return nil, err
		}
		rows = append(rows, measured...)
	}
	return rows, nil
}

// measureShareAt measures one size: in each round, a simulated second, every host takes requests of changing customers and
// renews its shares.
func measureShareAt(hosts, customers int) ([]Row, error) {
	const rounds, limit = 10, 10.0
	grantor := share.NewGrantor(0, hosts, share.LeaseTime)
	holders := make([]*share.Holder, hosts)
	for i := range holders {
		holders[i] = share.NewHolder(0, unit.HostName(fmt.Sprintf("host-%d", i)), hosts)
	}
	total := 0
	var granting time.Duration
	before := heapBytes()
	for round := range rounds {
		now := unit.Moment(time.Duration(round+4) * time.Second)
		for i, holder := range holders {
			// 33 requests/s on each host are 11,000 requests/s on 330 hosts.
			for r := range 33 {
				holder.Take(now, unit.CustomerID(fmt.Sprintf("customer-%d", (round*33*hosts+i*33+r*7919)%customers)), limit)
			}
			demand := holder.Demand(now)
			began := processorTime()
			grant := grantor.Grant(now, demand, func(unit.CustomerID) float64 { return limit })
			granting += processorTime() - began
			holder.Accept(now, grant)
			bytes, err := encodedSize(demand, grant)
			if err != nil {
				return nil, err
			}
			total += bytes
		}
	}
	memory := heapBytes() - before
	runtime.KeepAlive(holders)
	runtime.KeepAlive(grantor)
	label := fmt.Sprintf("%d hosts, %d customers", hosts, customers)
	return []Row{
		{"share", label, "demand and grant of a host", float64(total) / rounds / float64(hosts), "B/s"},
		{"share", label, "leader, for all hosts", granting.Seconds() / rounds * 100, "% of a core"},
		{"share", label, "memory of the leader and all holders", memory / 1e6, "MB"},
	}, nil
}

func encodedSize(values ...any) (int, error) {
	size := 0
	for _, value := range values {
		encoded, err := codec.Marshal(value)
		if err != nil {
			return 0, err
		}
		size += len(encoded)
	}
	return size, nil
}

func measureRecord() ([]Row, error) {
	const requests = 2_000
	writer := chain.New("entry-1", 1_796_354_218_986, chain.Limits{Entries: 10 * requests, Bytes: 1 << 30})
	began := processorTime()
	for i := range requests {
		for _, entry := range newEntries(i) {
			writer.Append(entry)
		}
	}
	used := processorTime() - began
	batch := writer.Batch(3 * requests)
	encoded, err := codec.Marshal(batch)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	began = processorTime()
	_, _ = compressor.Write(encoded)
	_ = compressor.Close()
	packing := processorTime() - began
	count := len(batch.Entries) / 3
	return []Row{
		{"record", "3 entries a request", "processor time of a request", microsecondsPer(used, requests), "µs"},
		{"record", "3 entries a request", "bytes of a request", float64(len(encoded)) / float64(count), "B"},
		{"record", "3 entries a request", "the same, compressed", float64(packed.Len()) / float64(count), "B"},
		{"record", "3 entries a request", "processor time of compressing a request", microsecondsPer(packing, count), "µs"},
	}, nil
}

// newEntries returns the entries of one request: a decision with eight candidates, an attempt and a final answer.
func newEntries(i int) []chain.Entry {
	common := chain.Entry{
		Request: unit.NewRequestID(), AtUnixMilli: 1_796_354_218_986 + int64(i), ConfigurationVersion: 1,
		SheetDigest: "6c92592accd14aad44953bd14fa0f8dce37a4ede87e969dd9b88b3a206afa897", Row: 13, Customer: "utrecht",
		Target: "taalmodel", Operation: "/v1/chat/completions", Class: "urgent", Limit: 60, Repeat: "idempotent", Attempt: 1,
		Chosen: "taalmodel-17", EndpointIncarnation: 1_796_354_218_986,
	}
	decision, attempt, final := common, common, common
	decision.Kind, attempt.Kind, final.Kind = chain.KindDecision, chain.KindAttempt, chain.KindFinal
	for c := range 8 {
		decision.Candidates = append(decision.Candidates, chain.Candidate{
			Endpoint: unit.EndpointID(fmt.Sprintf("taalmodel-%d", c)), CachedPieces: c, QueueWait: time.Duration(i*c) * time.Microsecond,
			Prefill: time.Duration(c+i) * time.Millisecond, Expected: time.Duration(c+i*3) * time.Millisecond,
		})
	}
	attempt.Wrote, attempt.Status = true, 200
	final.Outcome, final.Status = unit.OutcomeDone, 200
	return []chain.Entry{decision, attempt, final}
}

func measureLedger() ([]Row, error) {
	var rows []Row
	for _, claims := range []int{1_000, 10_000, 100_000} {
		before := heapBytes()
		machine := ledger.New()
		began := processorTime()
		for i := range claims {
			if err := claimAndFinish(machine, i); err != nil {
				return nil, err
			}
		}
		used := processorTime() - began
		memory := heapBytes() - before
		runtime.KeepAlive(machine)
		label := fmt.Sprintf("%d claims kept", claims)
		rows = append(rows,
			Row{"ledger", label, "claim and finish", microsecondsPer(used, claims), "µs"},
			Row{"ledger", label, "memory of a claim with its answer of 200 B", memory / float64(claims), "B"},
		)
	}
	return rows, nil
}

func claimAndFinish(machine *ledger.Machine, i int) error {
	request := unit.RequestID(fmt.Sprintf("%032x", i))
	key := fmt.Sprintf("pairing-%d", i)
	for _, command := range []ledger.Command{
		{Claim: &ledger.Claim{Customer: "utrecht", Key: key, Owner: "entry-1", OwnerIncarnation: 1, Request: request, AtUnixMilli: int64(i)}},
		{Finish: &ledger.Finish{
			Customer: "utrecht", Key: key, Owner: "entry-1", OwnerIncarnation: 1, Request: request, Outcome: unit.OutcomeDone,
			Status: 200, ContentType: "application/json", Body: bytes.Repeat([]byte{'x'}, 200), AtUnixMilli: int64(i),
		}},
	} {
		encoded, err := ledger.EncodeCommand(command)
		if err != nil {
			return err
		}
		machine.Apply(uint64(i), encoded)
	}
	return nil
}

func measureStream() ([]Row, error) {
	const tokens = 100_000
	events := make([][]byte, 256)
	for i := range events {
		data, err := json.Marshal(map[string]any{
			"id": "chatcmpl-1", "object": "chat.completion.chunk", "created": 1_796_354_556, "model": "taalmodel", "token-index": i,
			"choices": []map[string]any{{"index": 0, "delta": map[string]string{"content": "profiel "}, "finish_reason": nil}},
		})
		if err != nil {
			return nil, err
		}
		events[i] = data
	}
	var sink bytes.Buffer
	began := processorTime()
	for done := 0; done < tokens; done += len(events) {
		sink.Reset()
		if err := forward(events, &sink); err != nil {
			return nil, err
		}
	}
	return []Row{{"stream", "chat chunks", "reading, merging and encoding a token", microsecondsPer(processorTime()-began, tokens), "µs"}}, nil
}

func forward(events [][]byte, sink *bytes.Buffer) error {
	merger := stream.New(0)
	if err := merger.Begin(1); err != nil {
		return err
	}
	encoder := stream.NewEncoder(sink, func() error { return nil })
	for _, event := range events {
		chunk, err := stream.Parse(stream.Chat, 1, event)
		if err != nil {
			return err
		}
		if _, err := merger.Add(chunk); err != nil {
			return err
		}
		if err := encoder.Chunk(chunk); err != nil {
			return err
		}
	}
	return nil
}
