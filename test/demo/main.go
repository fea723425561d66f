// Command demo shows the main features on real processes: it starts three hosts, emulated engines and a service, submits a
// sheet, sends streamed requests that share a long prompt and a call that must run only once, and verifies the record against
// the sheet. It exits with 1 if a step fails.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/test/driver"
)

const (
	hosts   = 3
	engines = 4
)

// demo is the state that the steps share.
type demo struct {
	cluster    *driver.Cluster
	sheet      string // path of the submitted sheet
	prompt     string
	record     string
	lastAnswer driver.Answer
}

// step is one step of the demo. run returns the text that is printed below the title.
type step struct {
	title string
	run   func(*demo) (result string, err error)
}

var steps = []step{
	{"Three hosts start, each with the entry and the control role and its own data folder", (*demo).startHosts},
	{"Four engines, two service replicas and a cache store announce themselves", (*demo).startEndpoints},
	{"A sheet is checked, submitted and put in force on every host", (*demo).submitSheet},
	{"A sheet with errors is rejected as a whole, and every error is listed", (*demo).refuseBadSheet},
	{"A first request with a long prompt streams its answer; no engine has the prompt cached", (*demo).firstRequest},
	{"A second request with the same prompt through another host is routed to where the prompt is cached", (*demo).secondRequest},
	{"A confirmation runs once, although it is sent three times, once through each host", (*demo).confirmOnce},
	{"The record explains the second request", (*demo).explain},
	{"The record is verified against the sheet", (*demo).verify},
	{"All hosts stop gracefully", (*demo).stop},
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "\ndemo failed: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	folder, err := os.MkdirTemp("", "citronglade-demo-")
	if err != nil {
		return fault.DiskFailed.Wrap(err, "cannot create a temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cluster, err := driver.New("bin/citronglade", folder, hosts, hosts)
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{cluster: cluster, sheet: "test/sheets/taalmaatjes.csv", record: filepath.Join(folder, "record.jsonl")}
	for number, s := range steps {
		fmt.Printf("%2d. %s\n", number+1, s.title)
		result, err := s.run(d)
		if err != nil {
			return err
		}
		for line := range strings.SplitSeq(strings.TrimSpace(result), "\n") {
			fmt.Printf("      %s\n", line)
		}
	}
	fmt.Println("\nAll steps passed.")
	return nil
}

func (d *demo) startHosts() (string, error) {
	if err := d.cluster.StartHosts(); err != nil {
		return "", err
	}
	err := d.cluster.WaitFor("a leader of every group", func() error {
		_, _, err := d.cluster.Run("sheet", "show")
		return err
	})
	return fmt.Sprintf("%d hosts are up and have elected leaders", len(d.cluster.Hosts)), err
}

func (d *demo) startEndpoints() (string, error) {
	return "engines taalmodel-1 to taalmodel-4, services koppel-app-1 and koppel-app-2, store prompt-geheugen-1",
		d.cluster.StartEndpoints(engines, 2)
}

func (d *demo) submitSheet() (string, error) {
	checked, _, err := d.cluster.Run("sheet", "check", d.sheet)
	if err != nil {
		return "", err
	}
	submitted, _, err := d.cluster.Run("sheet", "submit", "--order-id", "demo-1", d.sheet)
	if err != nil {
		return "", err
	}
	if _, _, err := d.cluster.Run("status", "--wait-version", "1"); err != nil {
		return "", err
	}
	return checked + submitted + "every host serves version 1", d.cluster.WaitForEndpoints(engines + 3)
}

func (d *demo) refuseBadSheet() (string, error) {
	printed, code, err := d.cluster.Run("sheet", "check", "test/sheets/bad.csv")
	if code != 1 {
		return "", fault.Internal.Wrap(err, "the exit code of the sheet check is %d, expected 1", code)
	}
	return printed, nil
}

// sendChat sends a chat request with the long system prompt and a question to a host and fails unless the stream is complete.
func (d *demo) sendChat(host int, question string) (driver.Answer, error) {
	if d.prompt == "" {
		for _, file := range []string{"utrecht-preamble.txt", "utrecht-profile-17.txt"} {
			text, err := os.ReadFile(filepath.Join("test/prompts", file))
			if err != nil {
				return driver.Answer{}, fault.NotFound.Wrap(err, "cannot read the prompt")
			}
			d.prompt += string(text)
		}
	}
	body, err := json.Marshal(map[string]any{
		"model": "taalmodel", "stream": true, "max_tokens": 12,
		"messages": []map[string]string{{"role": "system", "content": d.prompt}, {"role": "user", "content": question}},
	})
	if err != nil {
		return driver.Answer{}, fault.Internal.Wrap(err, "cannot encode the request")
	}
	answer, err := driver.Request{
		Address: d.cluster.Hosts[host].Caller, Path: "/v1/chat/completions", Customer: "utrecht", Body: string(body),
	}.Do()
	if err == nil && (answer.Status != 200 || !answer.Complete) {
		err = fault.Internal.New("status %d, complete %t: %s", answer.Status, answer.Complete, answer.Body)
	}
	d.lastAnswer = answer
	return answer, err
}

func (d *demo) firstRequest() (string, error) {
	answer, err := d.sendChat(0, "Past leerling Amal bij deze vrijwilliger?")
	return fmt.Sprintf("first token after %s, complete answer: %s", answer.FirstToken.Round(1e6), answer.Text), err
}

func (d *demo) secondRequest() (string, error) {
	coldLatency := d.lastAnswer.FirstToken
	answer, err := d.sendChat(1, "En leerling Yusuf?")
	if err == nil && answer.FirstToken > coldLatency/2 {
		err = fault.Internal.New("first token after %s, expected at most half of %s (uncached prompt)", answer.FirstToken, coldLatency)
	}
	return fmt.Sprintf("first token after %s instead of %s", answer.FirstToken.Round(1e6), coldLatency.Round(1e6)), err
}

func (d *demo) confirmOnce() (string, error) {
	var result strings.Builder
	for number, host := range d.cluster.Hosts {
		answer, err := driver.Request{
			Address: host.Caller, Path: "/service/koppel-app/confirm", Customer: "utrecht", Key: "pairing-81",
			Body: `{"volunteer":17,"learner":"amal"}`,
		}.Do()
		if err != nil {
			return "", err
		}
		if answer.Status != 200 || answer.Replayed != (number > 0) {
			return "", fault.Internal.New("host %s answered %d, replayed %t: %s", host.Name, answer.Status, answer.Replayed, answer.Body)
		}
		fmt.Fprintf(&result, "%s: status %d, stored answer %t\n", host.Name, answer.Status, answer.Replayed)
	}
	executions, err := d.cluster.Executions("pairing-81")
	if err == nil && executions != 1 {
		err = fault.Internal.New("the service ran the confirmation %d times", executions)
	}
	return result.String() + "the service ran it once", err
}

func (d *demo) explain() (string, error) {
	var explanation string
	err := d.cluster.WaitFor("the record of the request", func() error {
		printed, _, err := d.cluster.Run("explain", d.lastAnswer.RequestID)
		explanation = printed
		if err == nil && strings.Contains(printed, "doesn't say how the request ended") {
			err = fault.NotFound.New("the final entry is not archived yet")
		}
		return err
	})
	return explanation, err
}

func (d *demo) verify() (string, error) {
	if _, _, err := d.cluster.Run("record", "export", "--output", d.record); err != nil {
		return "", err
	}
	printed, _, err := d.cluster.Run("record", "verify", "--sheet", d.sheet, d.record)
	return printed, err
}

func (d *demo) stop() (string, error) {
	return "every host exited with code 0", d.cluster.StopHosts()
}
