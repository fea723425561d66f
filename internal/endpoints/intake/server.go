// Package intake is the HTTP API over which endpoints send their announcements and cache events.
package intake

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/routing/cache"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// maxBody limits a request body. It exceeds the size of a full batch of cache events.
const maxBody = "2M"

// Options configures a Server.
type Options struct {
	// Key is the bearer token that endpoints must send.
	Key string
	// Sample asks endpoints to send the cache events of one in Sample digests. Values below 1 count as 1.
	Sample int
	// OnAnnouncement is called with each valid announcement.
	OnAnnouncement func(endpoint.Announcement)
	// OnCacheEvents is called with each valid batch of cache events.
	OnCacheEvents func(cache.Batch)
}

// Server is the HTTP handler for endpoints.
type Server struct {
	options Options
	key     [sha256.Size]byte
	echo    *echo.Echo
}

// New returns a server. With an empty key it rejects every request as unauthenticated.
func New(o Options) *Server {
	s := &Server{options: o, key: sha256.Sum256([]byte(o.Key)), echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = writeError
	s.echo.Use(middleware.BodyLimit(maxBody), s.authenticate)
	s.echo.POST("/endpoint/v1/announce", s.announce)
	s.echo.POST("/endpoint/v1/cache-events", s.cacheEvents)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.echo.ServeHTTP(w, r)
}

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if !ok || s.options.Key == "" || subtle.ConstantTimeCompare(sum[:], s.key[:]) != 1 {
			return fault.Unauthenticated.New("the announce key is missing or wrong")
		}
		return next(c)
	}
}

func (s *Server) announce(c echo.Context) error {
	var body announcement
	if err := c.Bind(&body); err != nil {
		return fault.BadInput.Wrap(err, "the body isn't an announcement")
	}
	if err := body.validate(); err != nil {
		return err
	}
	s.options.OnAnnouncement(body.toRouting())
	return c.JSON(http.StatusOK, announceResponse{CacheEventSample: max(s.options.Sample, 1)})
}

func (s *Server) cacheEvents(c echo.Context) error {
	var body cacheEventBatch
	if err := c.Bind(&body); err != nil {
		return fault.BadInput.Wrap(err, "the body isn't a batch of cache events")
	}
	if err := body.validate(); err != nil {
		return err
	}
	s.options.OnCacheEvents(body.toBatch())
	return c.NoContent(http.StatusNoContent)
}

type errorResponse struct {
	Error string `json:"error"`
	Code  string `json:"code"`
}

func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var framework *echo.HTTPError
	switch {
	case errorx.IsOfType(err, fault.BadInput):
		status = http.StatusBadRequest
	case errorx.IsOfType(err, fault.Unauthenticated):
		status = http.StatusUnauthorized
	default:
		if errors.As(err, &framework) {
			status = framework.Code
		}
	}
	_ = c.JSON(status, errorResponse{Error: err.Error(), Code: fault.Name(err)})
}
