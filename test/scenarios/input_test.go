package scenarios

import (
	"net"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// sendForeignBytes HOST sends bytes that are not valid on any of its ports to every port of a host.
func (s *scenario) sendForeignBytes(ts *testscript.TestScript, args []string) {
	host := s.cluster.Host(args[0])
	for _, bytes := range []string{"\x16\x03\x01\x00\x05hello", "SSH-2.0-x\r\n", "GET / HTTP/9.9\r\n\r\n", strings.Repeat("\x00\xff", 4000)} {
		for _, address := range []string{host.Caller, host.Endpoint, host.Operator, host.Metrics} {
			connection, err := net.Dial("tcp", address)
			ts.Check(err)
			_, _ = connection.Write([]byte(bytes))
			_ = connection.Close()
		}
		connection, err := net.Dial("udp", host.Link)
		ts.Check(err)
		_, _ = connection.Write([]byte(bytes))
		_ = connection.Close()
	}
}

// announce HOST KEY STATUS sends a host a forged endpoint announcement with the given announce key, or without one if KEY is
// empty, and compares the status of the response.
func (s *scenario) announce(ts *testscript.TestScript, args []string) {
	body := `{"endpoint-id":"forged-1","kind":"service","address":"127.0.0.1:1","data-centre":"nlw-a","incarnation":9,` +
		`"service":"koppel-app","slots":100,"sequence":1,"load":{"free-slots":100}}`
	request, err := http.NewRequest(http.MethodPost, "http://"+s.cluster.Host(args[0]).Endpoint+"/endpoint/v1/announce", strings.NewReader(body))
	ts.Check(err)
	if args[1] != "" {
		request.Header.Set("Authorization", "Bearer "+args[1])
	}
	answer, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer answer.Body.Close()
	if answer.StatusCode != parseNumber(ts, args[2]) {
		ts.Fatalf("the announcement got status %d, expected %s", answer.StatusCode, args[2])
	}
}
