package serve

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// errConfigChanged ends a wait, or an attempt before its first byte, since the
// configuration in force says something else of the request.
var errConfigChanged = errors.New("serve: the configuration changed")

// terms are what a configuration says of a request.
type terms struct {
	config    *fleet.Config
	route     *fleet.Route
	workspace *fleet.Workspace
	service   *fleet.Service
}

// look returns what a configuration says of the request, and its refusal if it refuses the
// request. The request keeps its service while its route leads there.
func (c *call) look(config *fleet.Config) (terms, *Problem) {
	t := terms{
		config: config,
	}
	if config == nil {
		return t, &Problem{
			Status:     http.StatusServiceUnavailable,
			Code:       "no-configuration",
			Message:    "this node has not read a configuration yet",
			NotRun:     true,
			RetryAfter: configRetryAfter,
		}
	}
	t.route = config.Match(c.req.Host, c.req.Path)
	if t.route == nil {
		return t, &Problem{
			Status:  http.StatusNotFound,
			Code:    "route-unknown",
			Message: "no route matches the host and path",
			NotRun:  true,
		}
	}
	if config.Workspaces != nil {
		t.workspace = config.WorkspaceOf(c.req.Key)
		if t.workspace == nil && !t.route.AllowAnonymous {
			return t, &Problem{
				Status:  http.StatusUnauthorized,
				Code:    "key-unknown",
				Message: "the key is not known",
				NotRun:  true,
			}
		}
	}
	name := t.route.Target(c.req.ID)
	if c.service != nil && t.route.LeadsTo(c.service.Name) {
		name = c.service.Name
	}
	t.service = config.Services[name]
	if t.service.Engine != nil {
		if _, ok := t.service.Engine.Models[c.req.Model]; !ok {
			return t, &Problem{
				Status:  http.StatusNotFound,
				Code:    "model-unknown",
				Message: "service " + t.service.Name + " has no such model",
				NotRun:  true,
			}
		}
	}
	return t, nil
}

// changes returns what other terms change for the request, separated by commas.
func (c *call) changes(t terms) string {
	var list []string
	add := func(differs bool, what string) {
		if differs {
			list = append(list, what)
		}
	}
	add(t.service.Name != c.service.Name, "service")
	add((t.service.Engine == nil) != (c.service.Engine == nil), "engine-class")
	add(!isSameWorkspace(t.workspace, c.workspace), "workspace")
	add(t.workspace != nil && c.workspace != nil && (t.workspace.Rate != c.workspace.Rate || t.workspace.Burst != c.workspace.Burst), "rate")
	add(c.shortens(t.route), "timeout")
	add(t.route.Kind != c.route.Kind, "kind")
	add(t.route.Resumable != c.route.Resumable, "resumable")
	add(t.route.MaxAttempts != c.route.MaxAttempts, "attempts")
	return strings.Join(list, ",")
}

func isSameWorkspace(a, b *fleet.Workspace) bool {
	return a == b || a != nil && b != nil && a.Name == b.Name
}

// isAffected reports whether a configuration changes anything for the request.
func (c *call) isAffected(config *fleet.Config) bool {
	if config == c.config || config == nil {
		return false
	}
	t, p := c.look(config)
	return p != nil || c.changes(t) != ""
}

// recheck asks whether the configuration in force allows the request, and takes over what
// it says. It is called after each wait, before each attempt and before it is decided about
// another one. The attempts and the position in the stream stay, and so does the deadline
// of a request that has run; that of another one may move forward only. If the
// configuration refuses the request, the call keeps the former terms, since an attempt that
// was sent under them may still go on.
func (c *call) recheck() *Problem {
	config := c.Server.Config()
	if config == c.config || config == nil {
		return nil
	}
	t, p := c.look(config)
	what := ""
	if p == nil {
		what = c.changes(t)
	}
	switch {
	case p != nil && c.ranAttempts > 0:
		p = c.unavailableProblem("the configuration changed: " + p.Message)
	case p != nil:
	case c.ranAttempts > 0 && !isSameWorkspace(t.workspace, c.workspace):
		p = c.unavailableProblem("the key belongs to another workspace now")
	case c.ranAttempts > 0 && !c.mayRepeatUnder(t.route):
		p = c.unavailableProblem("the route does not allow another attempt any more")
	case c.shortens(t.route) && !c.opts.Clock.Now().Before(c.deadlineUnder(t.route)):
		p = c.unavailableProblem("no endpoint could take the request in time")
	}
	former := terms{
		config:    c.config,
		route:     c.route,
		workspace: c.workspace,
		service:   c.service,
	}
	if p != nil || what != "" {
		code := ""
		if p != nil {
			code = p.Code
		}
		c.opts.Log.Info("configuration applied again", "request", c.req.ID, "config", config.Version, "former-config", former.config.Version,
			"changes", what, "refused", p != nil, "code", code, "route", former.route.Name, "service", serviceName(t.service),
			"former-service", former.service.Name, "sent", c.sentAttempts, "ran", c.ranAttempts, "after-event", c.lastEvent,
			"waited-ms", c.opts.Clock.Now().Sub(c.req.Arrived).Milliseconds())
	}
	if p != nil {
		c.isRefusedByConfig = true
		return p
	}
	if c.shortens(t.route) {
		c.shorten(c.deadlineUnder(t.route))
	}
	c.setTerms(t)
	return nil
}

// deadlineUnder returns the deadline that a route sets for the request.
func (c *call) deadlineUnder(r *fleet.Route) time.Time {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.req.Wait > 0 {
		timeout = min(timeout, c.req.Wait)
	}
	return c.req.Arrived.Add(timeout)
}

// LatestDeadline returns by when the final answer of a request that has not arrived in full
// is due, by the configuration in force.
func (s *Server) LatestDeadline(req *Request) time.Time {
	c := &call{
		Server: s,
		req:    req,
	}
	r := new(fleet.Route)
	if config := s.Config(); config != nil {
		if match := config.Match(req.Host, req.Path); match != nil {
			r = match
		}
	}
	return c.deadlineUnder(r)
}

// shortens reports whether a route moves the deadline of the request forward. It does not
// if the request has run: its endpoint works until the deadline that it was given.
func (c *call) shortens(r *fleet.Route) bool {
	return c.ranAttempts == 0 && c.deadlineUnder(r).Before(c.deadline)
}

// shorten moves the deadline of the request forward.
func (c *call) shorten(deadline time.Time) {
	c.deadline = deadline
	remaining := deadline.Sub(c.opts.Clock.Now())
	if c.shorter != nil {
		c.shorter.Reset(remaining)
		return
	}
	c.shorter = time.AfterFunc(remaining, func() { c.expire(context.DeadlineExceeded) })
}

// setTerms makes the call go on under the given terms. A request runs only as often as all
// terms allow that it was under.
func (c *call) setTerms(t terms) {
	c.config, c.route, c.workspace, c.service = t.config, t.route, t.workspace, t.service
	runs := max(1, t.route.MaxAttempts)
	if t.route.AtMostOnce() {
		c.atMostOnce, runs = true, 1
	}
	if c.maxRuns == 0 || runs < c.maxRuns {
		c.maxRuns = runs
	}
}

// mayRunAgain reports whether the request may run at another endpoint after its attempts.
func (c *call) mayRunAgain() bool { return c.ranAttempts < c.maxRuns }

// untilAffected returns a context that also ends, with the cause errConfigChanged, when a
// configuration comes into force that changes something for the request. The call must not
// change until the returned function was called.
func (c *call) untilAffected(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := c.watch(func(config *fleet.Config) {
		if c.isAffected(config) {
			cancel(errConfigChanged)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func serviceName(s *fleet.Service) string {
	if s == nil {
		return ""
	}
	return s.Name
}

// mayRepeatUnder reports whether a request that has run may run again as a route says.
func (c *call) mayRepeatUnder(r *fleet.Route) bool {
	return !r.AtMostOnce() && c.ranAttempts < max(1, r.MaxAttempts) && (c.route.Kind != fleet.Stream || r.Kind == fleet.Stream)
}

// isResumable reports whether the request is a stream that may be resumed.
func (c *call) isResumable() bool {
	return c.route.Kind == fleet.Stream && c.route.Resumable && !c.atMostOnce
}
