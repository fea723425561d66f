package dispatch

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// maxRequestHeader is the largest request header that endpoints accept, in bytes.
const maxRequestHeader = 256 << 10

// unforwardedHeaders are the caller's headers that aren't forwarded to an endpoint: those that concern the caller's own
// connection, and the caller's credentials, which are meant for the router.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// protocolHeaderPrefix is the prefix of the endpoint protocol's headers, which a caller must not set.
const protocolHeaderPrefix = "Citronglade-"

// unrewindableBody is a request body that can't be rewound. When a kept-alive connection breaks, http.Transport resends a
// request that is a GET or carries an Idempotency-Key, if its body is absent or can be rewound. A body of a type that
// http.NewRequest doesn't know prevents this, even when it is empty.
type unrewindableBody struct {
	reader *bytes.Reader
}

// Read implements io.Reader.
func (b unrewindableBody) Read(data []byte) (int, error) {
	return b.reader.Read(data)
}

// Close implements io.Closer.
func (unrewindableBody) Close() error {
	return nil
}

var _ io.ReadCloser = unrewindableBody{}

func newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	target, err := endpointURL(a)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, a.Method, target.String(), unrewindableBody{bytes.NewReader(a.Body)})
	if err != nil {
		return nil, fault.BadInput.Wrap(err, "cannot build the request")
	}
	request.ContentLength = int64(len(a.Body))
	request.Header = forwardedHeaders(a.Header)
	a.setProtocolHeaders(request.Header)
	if size := headerSize(request.Header); size > maxRequestHeader {
		return nil, fault.TooLarge.New("the header of the request has %d bytes, at most %d are allowed", size, maxRequestHeader)
	}
	return request, nil
}

func endpointURL(a Attempt) (*url.URL, error) {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return nil, fault.BadInput.Wrap(err, "the address of endpoint %s is not ip:port", a.Endpoint)
	}
	if !strings.HasPrefix(a.Path, "/") {
		return nil, fault.BadInput.New("path %q doesn't begin with a slash", a.Path)
	}
	target, err := url.ParseRequestURI(a.Path)
	if err != nil {
		return nil, fault.BadInput.Wrap(err, "path %q can't be read", a.Path)
	}
	target.Scheme, target.Host = "http", a.Address
	return target, nil
}

// forwardedHeaders copies the caller's header without unforwardedHeaders, headers of the endpoint protocol and those that
// its Connection header names.
func forwardedHeaders(header http.Header) http.Header {
	result := withoutConnectionHeaders(header)
	for name := range result {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), protocolHeaderPrefix) {
			delete(result, name)
		}
	}
	if result.Get("User-Agent") == "" {
		result["User-Agent"] = nil // without this entry the transport sends its own User-Agent
	}
	return result
}

func withoutConnectionHeaders(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		result = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		result.Del(name)
	}
	return result
}

func (a Attempt) setProtocolHeaders(header http.Header) {
	header.Set("Citronglade-Request", string(a.Request))
	if a.Incarnation != 0 {
		header.Set("Citronglade-Incarnation", strconv.FormatUint(uint64(a.Incarnation), 10))
	}
	if !a.Engine {
		return
	}
	header.Set("Citronglade-Priority", strconv.Itoa(a.Priority))
	header.Set("Citronglade-Prompt-Tokens", strconv.FormatInt(int64(a.PromptTokens), 10))
	setUnlessEmpty(header, "Citronglade-Weights", string(a.Weights))
	setUnlessEmpty(header, "Citronglade-Pieces", joinDigests(a.Pieces))
	setUnlessEmpty(header, "Citronglade-Import-From", a.ImportFrom)
	if a.ResumeFrom > 0 {
		header.Set("Citronglade-Resume-From", strconv.Itoa(a.ResumeFrom))
		header.Set("Citronglade-Delivered", base64.StdEncoding.EncodeToString(a.Delivered))
	}
}

func setUnlessEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func joinDigests(digests []unit.Digest) string {
	names := make([]string, len(digests))
	for i, digest := range digests {
		names[i] = digest.String()
	}
	return strings.Join(names, ",")
}

func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}
