package caller

import (
	"time"

	"trefoildale.example/trefoildale/internal/budget"
)

// Overloaded is the answer to a request that a server has not read and will not run, since
// too many connections are in use.
const Overloaded = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// Limit is a limit that has ended a connection or a request, with its use.
type Limit struct {
	// Name is that of a part of the budget, or of a limit on one request.
	Name string
	// Size is the limit and Used how much the client had used of it, or of all clients
	// together if it is a part of the budget that has no room for a new connection.
	Size int64
	Used int64
	// Phase is what the connection was doing, and Stopped the time since its last progress
	// if it gave way to others.
	Phase   budget.Phase
	Stopped time.Duration
}

// limitOf returns the limit for which a connection gives way.
func limitOf(c budget.Cause) Limit {
	return Limit{
		Name:    c.Part.String(),
		Size:    c.Limit,
		Used:    c.Held,
		Phase:   c.Phase,
		Stopped: c.Stopped,
	}
}

// reportLimited reports a connection that a limit ends while it has a request, or nil.
func (s *Server) reportLimited(l Limit, q *exchange) {
	closing := Closing{
		Reason:  Limited,
		Partial: q == nil,
		Limit:   l,
	}
	if q != nil {
		closing.Request = q.describe(false)
	}
	s.opts.OnClose(closing)
}
