// Package operators implements the HTTPS interface for operators, which every host serves. A client presents a certificate with the
// operator role. The name in the certificate is recorded with each command.
package operators

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/configuration"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/control/ledger"
	"github.com/citronglade/citronglade/internal/control/rollout"
	"github.com/citronglade/citronglade/internal/host/control"
	"github.com/citronglade/citronglade/internal/network/identity"
	"github.com/citronglade/citronglade/internal/network/keys"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/record/chain"
)

// maxBody is the largest size of a request's body. It has room for an encoded sheet of 32 MiB in base64.
const maxBody = "48M"

// Options are the parameters of New. Functions that the host's roles don't provide are nil.
type Options struct {
	Status    func() HostStatus
	Endpoints func() []EndpointStatus
	Drain     func(unit.EndpointID) error
	// CallLeader sends a message to the leader of a group and returns the answer.
	CallLeader   func(ctx context.Context, group uint32, kind string, payload []byte) ([]byte, error)
	LedgerGroups int
	// Record returns the record entries of one host that are archived on this host, beginning at the sequence number from.
	// RecordHosts returns the hosts of which this host has entries.
	Record      func(host unit.HostName, from uint64) ([]chain.Entry, error)
	RecordHosts func() []unit.HostName
}

// Server is the HTTP handler for operators.
type Server struct {
	Options
	echo *echo.Echo
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{Options: o, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = writeError
	s.echo.Use(middleware.BodyLimit(maxBody), requireOperator)
	routes := s.echo.Group("/operator/v1")
	routes.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Status()) })
	routes.GET("/configuration", s.getConfiguration)
	routes.POST("/orders", s.postOrder)
	routes.POST("/claims/resolve", s.postResolve)
	routes.POST("/rollout", s.postIntervention)
	routes.POST("/members", s.postMembers)
	if o.Endpoints != nil {
		routes.GET("/endpoints", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Endpoints()) })
		routes.POST("/endpoints/:id/drain", s.postDrain)
	}
	if o.Record != nil {
		routes.GET("/record", s.getRecord)
		routes.GET("/record/:host", s.getRecordOf)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.echo.ServeHTTP(w, r)
}

// requireOperator rejects requests without a client certificate of the operator role, and stores the operator's name in the context.
func requireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		state := c.Request().TLS
		if state == nil {
			return fault.Unauthenticated.New("operators connect over TLS")
		}
		name, role := identity.Peer(*state)
		if role != keys.RoleOperator {
			return fault.Forbidden.New("%s %q isn't an operator", role, name)
		}
		c.Set("operator", name)
		return next(c)
	}
}

// operatorOf returns the name that requireOperator stored.
func operatorOf(c echo.Context) string {
	name, _ := c.Get("operator").(string)
	return name
}

func (s *Server) getConfiguration(c echo.Context) error {
	payload, err := codec.Marshal(follower.Request{})
	if err != nil {
		return err
	}
	raw, err := s.CallLeader(c.Request().Context(), 0, kind.ConfigurationGet, payload)
	if err != nil {
		return err
	}
	var answer follower.Answer
	if err := codec.Unmarshal(raw, &answer); err != nil {
		return err
	}
	current, err := answer.Update.Apply(configuration.Current{})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Configuration{
		Version: current.Version, SheetDigest: current.SheetDigest, Sheet: current.Sheet, Weights: current.Weights,
	})
}

func (s *Server) postOrder(c echo.Context) error {
	var body Order
	if err := c.Bind(&body); err != nil {
		return fault.BadInput.Wrap(err, "the body isn't an order")
	}
	payload, err := codec.Marshal(configuration.Order{
		ID: body.ID, Operator: operatorOf(c), Base: body.Base, Sheet: body.Sheet, Weights: body.Weights,
	})
	if err != nil {
		return err
	}
	raw, err := s.CallLeader(c.Request().Context(), 0, kind.Order, payload)
	if err != nil {
		return err
	}
	answer, err := configuration.DecodeAnswer(raw)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, OrderAnswer(answer))
}

func (s *Server) postResolve(c echo.Context) error {
	var body Resolve
	if err := c.Bind(&body); err != nil {
		return fault.BadInput.Wrap(err, "the body isn't a resolution")
	}
	payload, err := ledger.EncodeCommand(ledger.Command{Resolve: &ledger.Resolve{
		Customer: body.Customer, Key: body.Key, Outcome: body.Outcome, Operator: operatorOf(c), Reason: body.Reason,
	}})
	if err != nil {
		return err
	}
	raw, err := s.CallLeader(c.Request().Context(), ledger.Shard(body.Customer, uint32(s.LedgerGroups)), kind.Ledger, payload)
	if err != nil {
		return err
	}
	reply, err := ledger.DecodeReply(raw)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, ResolveAnswer{State: reply.State})
}

func (s *Server) postIntervention(c echo.Context) error {
	var body Intervention
	if err := c.Bind(&body); err != nil {
		return fault.BadInput.Wrap(err, "the body isn't an intervention")
	}
	payload, err := codec.Marshal(rollout.Intervention{
		Action: body.Action, Model: body.Model, Operator: operatorOf(c), Reason: body.Reason,
	})
	if err != nil {
		return err
	}
	raw, err := s.CallLeader(c.Request().Context(), 0, kind.Intervene, payload)
	if err != nil {
		return err
	}
	answer, err := rollout.DecodeAnswer(raw)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, OrderAnswer{Accepted: answer.Accepted, Reason: answer.Reason})
}

// postMembers changes the members of one group after the other, so that every group keeps its quorum.
func (s *Server) postMembers(c echo.Context) error {
	var body MemberChange
	if err := c.Bind(&body); err != nil {
		return fault.BadInput.Wrap(err, "the body isn't a change of members")
	}
	payload, err := codec.Marshal(control.MemberChange{Add: body.Add, Remove: body.Remove})
	if err != nil {
		return err
	}
	for group := range uint32(s.LedgerGroups + 1) {
		if _, err := s.CallLeader(c.Request().Context(), group, kind.MemberChange, payload); err != nil {
			return errorx.Decorate(err, "group %d", group)
		}
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) postDrain(c echo.Context) error {
	if err := s.Drain(unit.EndpointID(c.Param("id"))); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) getRecord(c echo.Context) error {
	return c.JSON(http.StatusOK, s.RecordHosts())
}

func (s *Server) getRecordOf(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil && c.QueryParam("from") != "" {
		return fault.BadInput.New("from is %q, expected a sequence number", c.QueryParam("from"))
	}
	entries, err := s.Record(unit.HostName(c.Param("host")), from)
	if err != nil {
		return err
	}
	if wanted := unit.RequestID(c.QueryParam("request")); wanted != "" {
		entries = entriesOfRequest(entries, wanted)
	}
	return c.JSON(http.StatusOK, entries)
}

// entriesOfRequest returns the entries that belong to one request.
func entriesOfRequest(entries []chain.Entry, id unit.RequestID) []chain.Entry {
	var own []chain.Entry
	for _, entry := range entries {
		if entry.Request == id {
			own = append(own, entry)
		}
	}
	return own
}

// httpStatuses maps error types to HTTP status codes. Types that aren't listed give 500.
var httpStatuses = []struct {
	failure *errorx.Type
	status  int
}{
	{fault.BadInput, http.StatusBadRequest},
	{fault.TooLarge, http.StatusRequestEntityTooLarge},
	{fault.Unauthenticated, http.StatusUnauthorized},
	{fault.Forbidden, http.StatusForbidden},
	{fault.NotFound, http.StatusNotFound},
	{fault.Conflict, http.StatusConflict},
	{fault.NoQuorum, http.StatusServiceUnavailable},
	{fault.Unreachable, http.StatusServiceUnavailable},
	{fault.Overloaded, http.StatusServiceUnavailable},
}

func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var framework *echo.HTTPError
	if errors.As(err, &framework) {
		status = framework.Code
	}
	for _, known := range httpStatuses {
		if errorx.IsOfType(err, known.failure) {
			status = known.status
		}
	}
	_ = c.JSON(status, Failure{Error: err.Error(), Code: fault.Name(err)})
}
