// Package api is the HTTP API for callers: the OpenAI-compatible paths and the paths of plain services.
package api

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/bodymemory"
	"github.com/citronglade/citronglade/internal/callers/request"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/planning/sheet"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

const (
	// maxBodyBytes is the largest body of a request.
	maxBodyBytes = 8 << 20
	// maxKeyBytes is the largest value of an Idempotency-Key header.
	maxKeyBytes = 255

	requestIDHeader = "Citronglade-Request-Id"
	keyHeader       = "Idempotency-Key"
	servicePrefix   = "/service/"
)

// Options are what New needs.
type Options struct {
	Now    func() unit.Moment
	View   func(now unit.Moment) (follower.View, error)
	Models func() (models, services []string)
	// Serve processes a request and writes its answer.
	Serve func(ctx context.Context, call request.Call, w http.ResponseWriter) error
	// Ready reports whether the load balancer may send requests to this host.
	Ready func() bool
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
}

// Server is the HTTP handler for callers.
type Server struct {
	Options
	echo *echo.Echo
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{Options: o, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.writeError
	s.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	s.echo.GET("/readyz", s.ready)
	s.echo.GET("/v1/models", s.listModels, s.authenticate)
	s.echo.POST("/v1/chat/completions", s.serveModel, s.authenticate)
	s.echo.POST("/v1/completions", s.serveModel, s.authenticate)
	s.echo.Any(servicePrefix+"*", s.serveService, s.authenticate)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Stopping() {
		// Close kept-alive connections after their current answer, so that the callers' next requests go to other hosts.
		w.Header().Set("Connection", "close")
	}
	s.echo.ServeHTTP(w, r)
}

func (s *Server) ready(c echo.Context) error {
	if !s.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// authenticate gives the request an id and finds the customer to whom the bearer token belongs.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := unit.NewRequestID()
		c.Response().Header().Set(requestIDHeader, string(id))
		view, err := s.View(s.Now())
		if err != nil {
			return err
		}
		token, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		customer, known := view.Sheet.Authenticate(token)
		if !ok || !known {
			return fault.Unauthenticated.New("the bearer token is missing or unknown")
		}
		c.Set("call", request.Call{ID: id, Customer: customer, View: view, Arrived: s.Now(), Method: c.Request().Method})
		return next(c)
	}
}

func callOf(c echo.Context) request.Call {
	call, _ := c.Get("call").(request.Call)
	return call
}

// modelList is the body of the answer to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the models that an engine serves and for which the customer has a rule.
func (s *Server) listModels(c echo.Context) error {
	call := callOf(c)
	list := modelList{Object: "list", Data: []modelEntry{}}
	names, _ := s.Models()
	for _, name := range names {
		if mayUseModel(call, name) {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "citronglade"})
		}
	}
	return c.JSON(http.StatusOK, list)
}

func mayUseModel(call request.Call, model string) bool {
	for _, operation := range []string{"/v1/chat/completions", "/v1/completions"} {
		if _, _, ok := call.View.Sheet.Match(call.Customer.ID, model, operation); ok {
			return true
		}
	}
	return false
}

func (s *Server) serveModel(c echo.Context) error {
	call := callOf(c)
	body, err := bodymemory.ReadAll(c.Request(), maxBodyBytes)
	if err != nil {
		return err
	}
	var parsed modelRequest
	err = bodymemory.Decode(c.Request(), body, func() (err error) {
		parsed, err = parseModelRequest(body)
		return err
	})
	if err != nil {
		return err
	}
	call.Kind, call.Target, call.Operation = endpoint.KindEngine, string(parsed.model), c.Request().URL.Path
	call.Path = call.Operation
	call.Messages, call.Stream, call.MaxTokens = parsed.messages, parsed.stream, parsed.maxTokens
	return s.serveCall(c, call, body)
}

// serveService forwards /service/NAME/REST as /REST to a replica of the service.
func (s *Server) serveService(c echo.Context) error {
	call := callOf(c)
	body, err := bodymemory.ReadAll(c.Request(), maxBodyBytes)
	if err != nil {
		return err
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(c.Request().URL.Path, servicePrefix), "/")
	call.Kind, call.Target = endpoint.KindService, name
	call.Operation = path.Clean("/" + rest)
	call.Path = (&url.URL{Path: call.Operation, RawQuery: c.Request().URL.RawQuery}).RequestURI()
	call.Messages = []string{call.Method + " " + call.Path, string(body)}
	return s.serveCall(c, call, body)
}

func (s *Server) serveCall(c echo.Context, call request.Call, body []byte) error {
	call.Key = c.Request().Header.Get(keyHeader)
	if len(call.Key) > maxKeyBytes {
		return fault.BadInput.New("the Idempotency-Key has %d bytes, at most %d are allowed", len(call.Key), maxKeyBytes)
	}
	rule, class, ok := call.View.Sheet.Match(call.Customer.ID, call.Target, call.Operation)
	if !ok {
		return fault.Forbidden.New("the sheet has no rule for %s %s of customer %s", call.Target, call.Operation, call.Customer.ID)
	}
	if rule.Repeat == sheet.OnceOnly && call.Key == "" {
		return fault.BadInput.New("%s %s may not be repeated and needs an Idempotency-Key", call.Target, call.Operation)
	}
	if rule.Repeat == sheet.OnceOnly && call.Stream {
		return fault.BadInput.New("%s %s may not be repeated and can't be streamed", call.Target, call.Operation)
	}
	call.Rule, call.Class = rule, class
	call.Body = body
	if rule.Repeat == sheet.OnceOnly {
		// Other calls don't need the canonical body, and decoding a long prompt for it takes a millisecond.
		err := bodymemory.Decode(c.Request(), body, func() error {
			call.Canonical = canonicalBody(body)
			return nil
		})
		if err != nil {
			return err
		}
	}
	call.ContentType = c.Request().Header.Get("Content-Type")
	call.Accept = c.Request().Header.Get("Accept")
	return s.Serve(c.Request().Context(), call, c.Response())
}

// writeError answers with the status and body for err. If the answer has begun, it only aborts the connection of a caller that has left,
// because the answer would otherwise be completed; any other stream that has begun ends with an error event, which package request sends.
func (s *Server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		if errorx.IsOfType(err, fault.CallerLeft) {
			panic(http.ErrAbortHandler)
		}
		return
	}
	var framework *echo.HTTPError
	if errors.As(err, &framework) {
		err = frameworkFailure(framework)
	}
	id := unit.RequestID(c.Response().Header().Get(requestIDHeader))
	writeFailure(c.Response(), err, id)
}

func frameworkFailure(err *echo.HTTPError) error {
	switch err.Code {
	case http.StatusNotFound:
		return fault.NotFound.New("this path doesn't exist")
	case http.StatusMethodNotAllowed:
		return fault.BadInput.New("this path doesn't take this method")
	default:
		return fault.BadInput.New("the request can't be read")
	}
}
