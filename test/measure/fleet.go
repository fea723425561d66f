package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/measure/shape"
	"github.com/citronglade/citronglade/test/driver"
)

// Parameters of the hosts and the emulated engines. The engines' times are not scaled. Prompts have one byte per token, which
// saves processor time without changing the placement.
const (
	entryHosts      = 6
	controlHosts    = 3
	slots           = 8
	serviceSlots    = 64
	unlimitedPieces = 100_000
	bytesPerToken   = 1
	pieceTokens     = 2000
	weights         = "w1"
	// The ports of the emulators are below the range that the system uses for outgoing connections.
	firstPort, lastPort, portStep = 21_000, 32_000, 32
	// engineDisturbance are emulator settings that delay load reports by 1 s and cache events by 500 ms, and drop 2% of the
	// batches of cache events.
	engineDisturbance = `{"load-report-age":"1s","event-delay":"500ms","event-loss":0.02}`
	// limitFactor multiplies the sheet's limits, which are far below the capacity of the emulated engines.
	limitFactor = 1000
	// decodeStep is the time per output token in a full batch: 20 ms, and 0.3 ms for each other request of the batch.
	decodeStep = 20*time.Millisecond + (slots-1)*300*time.Microsecond
)

// prefillRate is the prefill rate of one engine in tokens/s, by shape. Norrmark's prefixes are so long that an urgent request
// couldn't meet its deadline on a slower engine without a cached prefix.
var prefillRate = map[string]float64{"taalmaatjes": 8000, "norrmark": 20_000}

// cachePieces is the capacity of one engine's prefix cache in pieces, by shape: about 1.5 times the engine's share of the
// working set.
var cachePieces = map[string]int{"taalmaatjes": 32, "norrmark": 36}

// setup are the parameters of a fleet.
type setup struct {
	shape       shape.Shape
	binary      string
	placement   string
	cachePieces int          // 0 means the shape's value in cachePieces
	hosts       int          // 0 means entryHosts
	limitFactor float64      // 0 means the constant limitFactor
	stub        bool         // use one engine that answers immediately instead of the shape's endpoints
	partitioned *atomic.Bool // if set, the last host is partitioned from the others while the value is true
}

// fleet is a cluster of hosts with the emulated engines and services of a shape.
type fleet struct {
	setup
	cluster  *driver.Cluster
	folder   string
	engines  []string // addresses
	nextPort int
	engine   *stub // nil unless setup.stub is set
	relays   []*relay
}

func startFleet(s setup) (*fleet, error) {
	if s.hosts == 0 {
		s.hosts = entryHosts
	}
	if s.cachePieces == 0 {
		s.cachePieces = cachePieces[s.shape.Name]
	}
	if s.limitFactor == 0 {
		s.limitFactor = limitFactor
	}
	folder, err := os.MkdirTemp("", "citronglade-measure-")
	if err != nil {
		return nil, fault.DiskFailed.Wrap(err, "cannot create a temporary folder")
	}
	f := &fleet{setup: s, folder: folder}
	if f.cluster, err = driver.New(s.binary, folder, s.hosts, controlHosts); err != nil {
		return nil, err
	}
	for _, host := range f.cluster.Hosts {
		host.ExtraFlags = []string{"--placement", s.placement, "--bytes-per-token", strconv.Itoa(bytesPerToken)}
	}
	if s.partitioned != nil {
		if err := f.addRelays(); err != nil {
			return nil, err
		}
	}
	if err := f.start(); err != nil {
		f.printLogs()
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start() error {
	if err := f.cluster.StartHosts(); err != nil {
		return err
	}
	if err := f.startEndpoints(); err != nil {
		return err
	}
	sheet, err := f.scaledSheet()
	if err != nil {
		return err
	}
	err = f.cluster.WaitFor("an accepted sheet", func() error {
		_, _, err := f.cluster.Run("sheet", "submit", "--order-id", "measure-1", sheet)
		return err
	})
	if err != nil {
		return err
	}
	if err := f.waitReady(); err != nil {
		return err
	}
	for _, address := range f.engines {
		if err := post("http://"+address+"/emulator/v1/settings", engineDisturbance); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until every host serves the sheet and knows all endpoints as usable.
func (f *fleet) waitReady() error {
	if _, _, err := f.cluster.Run("status", "--wait-version", "1"); err != nil {
		return err
	}
	if f.stub {
		return f.cluster.WaitForEndpoints(1)
	}
	return f.cluster.WaitForEndpoints(f.shape.Replicas + f.shape.Services)
}

// addRelays puts relays on the links between the last host and all others, one for each direction. It must be called before
// the hosts are started.
func (f *fleet) addRelays() error {
	last := f.cluster.Hosts[len(f.cluster.Hosts)-1]
	for _, host := range f.cluster.Hosts[:len(f.cluster.Hosts)-1] {
		for _, pair := range [][2]*driver.Host{{host, last}, {last, host}} {
			r, err := newRelay(pair[0].Link, f.partitioned)
			if err != nil {
				return err
			}
			f.relays = append(f.relays, r)
			pair[0].LinkByPeer[pair[1].Name] = r.address()
		}
	}
	return nil
}

// printLogs prints the last log lines of every host.
func (f *fleet) printLogs() {
	const lines = 5
	for _, host := range f.cluster.Hosts {
		log := strings.Split(strings.TrimSpace(f.cluster.Log(host.Name)), "\n")
		fmt.Printf("%s:\n%s\n", host.Name, strings.Join(log[max(0, len(log)-lines):], "\n"))
	}
}

func (f *fleet) close() {
	f.cluster.Close()
	if f.engine != nil {
		f.engine.close()
	}
	for _, r := range f.relays {
		r.close()
	}
	if logs := os.Getenv("MEASURE_LOGS"); logs != "" {
		for _, host := range f.cluster.Hosts {
			_ = os.WriteFile(filepath.Join(logs, host.Name+".log"), []byte(f.cluster.Log(host.Name)), 0o600) // for debugging only
		}
	}
	_ = os.RemoveAll(f.folder)
}

// startEndpoints starts the shape's services and engines, or the stub engine. The engines run in two processes of half of them
// each, so that the outage section can kill one half.
func (f *fleet) startEndpoints() (err error) {
	if f.stub {
		f.engine, err = f.startStub()
		return err
	}
	half := f.shape.Replicas / 2
	key := filepath.Join(f.cluster.KeysFolder(), "announce.key")
	engineFlags := []string{
		"--cache-pieces", strconv.Itoa(f.cachePieces), "--prefill-rate", fmt.Sprint(prefillRate[f.shape.Name]), "--slots", strconv.Itoa(slots),
		"--piece-tokens", strconv.Itoa(pieceTokens), "--concurrent-loads", "100", "--weights", weights,
	}
	for _, kind := range []struct {
		process, command, name string
		first, count           int
		flags                  []string
	}{
		{"engine-1", "engine", f.shape.Model, 1, f.shape.Replicas - half, engineFlags},
		{"engine-2", "engine", f.shape.Model, f.shape.Replicas - half + 1, half, engineFlags},
		{"service", "service", f.shape.Service, 1, f.shape.Services, []string{"--slots", strconv.Itoa(serviceSlots)}},
	} {
		first, err := f.freePorts(kind.count)
		if err != nil {
			return err
		}
		arguments := []string{
			"emulate", kind.command, "--count", strconv.Itoa(kind.count), "--first", strconv.Itoa(kind.first), "--name", kind.name, "--announce-key-file", key,
			"--listen", "127.0.0.1:" + strconv.Itoa(first), "--entries", f.cluster.EntryAddresses(),
			"--data-centres", strings.Join(f.shape.DataCentres, ","),
		}
		if err := f.cluster.Start(kind.process, append(arguments, kind.flags...)...); err != nil {
			return err
		}
		for i := range kind.count {
			if kind.command == "engine" {
				f.engines = append(f.engines, "127.0.0.1:"+strconv.Itoa(first+i))
			}
		}
	}
	return nil
}

func (f *fleet) callerAddresses() []string {
	var addresses []string
	for _, host := range f.cluster.Hosts {
		addresses = append(addresses, host.Caller)
	}
	return addresses
}

// scaledSheet writes a copy of the shape's sheet, with all customers' limits multiplied by limitFactor, and returns its path.
func (f *fleet) scaledSheet() (string, error) {
	data, err := os.ReadFile(filepath.Join("test/sheets", f.shape.Sheet))
	if err != nil {
		return "", fault.NotFound.Wrap(err, "cannot read the sheet")
	}
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		fields := strings.Split(line, ";")
		if fields[0] != "customer" {
			continue
		}
		for _, column := range []int{2, 3} {
			value, err := strconv.ParseFloat(strings.Replace(fields[column], ",", ".", 1), 64)
			if err != nil {
				return "", fault.BadInput.Wrap(err, "cannot read the sheet's limits")
			}
			fields[column] = strings.Replace(strconv.FormatFloat(value*f.limitFactor, 'f', -1, 64), ".", ",", 1)
		}
		lines[i] = strings.Join(fields, ";")
	}
	file := filepath.Join(f.folder, "sheet.csv")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		return "", fault.DiskFailed.Wrap(err, "cannot write the sheet")
	}
	return file, nil
}

// capacity returns the rate in requests/s that a shape's engines can serve with perfect caching, limited either by the prefill
// of tokens that cannot be cached or by the time that requests hold a slot for prefill and decoding. Service calls count as
// requests but use no engine. newTokens is the average number of such tokens in a prompt.
func capacity(s shape.Shape) (perSecond float64, newTokens unit.Tokens, err error) {
	const requests = 4000
	workload := shape.New(s, 1, 100, shape.Text{BytesPerToken: bytesPerToken, PieceTokens: pieceTokens})
	models, all := 0, 0
	for i := range 2 * requests {
		r, err := workload.Next()
		if err != nil {
			return 0, 0, err
		}
		if i < requests { // warm-up, after which every prefix has occurred
			continue
		}
		all++
		if r.Call.Model {
			models++
			newTokens += r.NewTokens
		}
	}
	newTokens /= unit.Tokens(models)
	hold := float64(newTokens)/prefillRate[s.Name] + float64(s.AnswerTokens)*decodeStep.Seconds()
	perEngine := min(prefillRate[s.Name]/float64(newTokens), slots/hold)
	return perEngine * float64(s.Replicas) * float64(all) / float64(models), newTokens, nil
}

// freePorts returns the first of count consecutive free ports. Each call returns different ports.
func (f *fleet) freePorts(count int) (int, error) {
	for first := max(f.nextPort, firstPort); first < lastPort; first += portStep {
		f.nextPort = first + portStep
		free := true
		for i := range count {
			socket, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first+i)) //nolint:noctx // closed at once
			if err != nil {
				free = false
				break
			}
			_ = socket.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fault.Internal.New("found no %d consecutive free ports", count)
}

func post(url, body string) error {
	response, err := http.Post(url, "application/json", strings.NewReader(body)) //nolint:noctx,gosec // loopback address of an own process
	if err != nil {
		return fault.Unreachable.Wrap(err, "no answer from %s", url)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fault.Internal.New("%s answered with status %d", url, response.StatusCode)
	}
	return nil
}

// describeShape returns a description of a shape's engines and their capacity in requests/s.
func describeShape(s shape.Shape) (string, float64, error) {
	rate, tokens, err := capacity(s)
	return fmt.Sprintf("%s: %d engines of %.0f tokens/s prefill and %d slots, %d cached pieces each; a prompt has %d new tokens on average; capacity with perfect caching %.0f requests/s",
		s.Name, s.Replicas, prefillRate[s.Name], slots, cachePieces[s.Name], tokens, rate), rate, err
}
