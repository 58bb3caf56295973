package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// answerTimeout bounds the wait for a complete answer.
	answerTimeout = 4 * time.Second
	// maxAnswer is how many bytes of an answer are read at most.
	maxAnswer = 1 << 20
	// maxRetryDelay bounds the delay before a retry, whatever Retry-After says.
	maxRetryDelay = time.Second
	// newestKeyShare is the share of requests that carry the newest extra key
	// of the first workspace, which may have been withdrawn.
	newestKeyShare = 0.2
)

// caller sends requests one after the other. It keeps its connection to a node
// while that works, and otherwise switches to a node that is ready.
type caller struct {
	run    *run
	number int
	count  int
	random *rand.Rand
	client *http.Client
	node   *node
	// newestKey is the last key that was added to the first workspace. It stays
	// in use after its withdrawal.
	newestKey string
}

// runCaller sends requests until the context ends.
func (r *run) runCaller(ctx context.Context, number int) {
	c := &caller{
		run:    r,
		number: number,
		random: rand.New(rand.NewPCG(r.opts.Seed, uint64(number)+1)),
	}
	for ctx.Err() == nil {
		if c.node == nil {
			c.switchNode()
		}
		req := c.drawRequest()
		if retry, delay := c.send(ctx, req); retry && sleep(ctx, delay) {
			// The retry gets an ID of its own, since the answers differ by ID.
			c.count++
			c.send(ctx, &request{
				id:     c.requestID(),
				route:  req.route,
				key:    req.key,
				tokens: req.tokens,
			})
		}
		sleep(ctx, c.pause())
	}
}

// timeout returns how long callers wait for a complete answer on a route.
func (r *run) timeout(route *site.Route) time.Duration {
	if r.opts.Planned {
		return time.Duration(route.TimeoutMS * float64(time.Millisecond))
	}
	return answerTimeout
}

// maxEvents returns how many events a stream on a route has at most.
func (r *run) maxEvents(route *site.Route) int {
	if r.opts.Planned {
		return max(1, plannedEvents[route.Name])
	}
	return 25
}

// pause returns the time until the next request. With incidents or planned work, some
// callers wait for up to the time that they may keep an idle connection.
func (c *caller) pause() time.Duration {
	if (c.run.opts.Incidents || c.run.opts.Planned) && c.number%idleCallerInterval == 0 {
		limit := c.run.currentConfig().Limits.IdleTimeoutMS
		return time.Duration(c.random.Float64() * reusableShare * limit * float64(time.Millisecond))
	}
	return time.Duration(c.random.IntN(60)) * time.Millisecond
}

// switchNode selects another node at random, a ready one if there is any, and
// starts with new connections.
func (c *caller) switchNode() {
	nodes := slices.Clone(c.run.nodes)
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	c.node = nodes[0]
	for _, n := range nodes {
		if n.ready() {
			c.node = n
			break
		}
	}
	c.client = &http.Client{
		Transport: &http.Transport{
			DialContext: conn.Judged(nil),
		},
	}
}

func (c *caller) requestID() string {
	return fmt.Sprintf("%d-%d-%d", c.run.opts.Seed, c.number, c.count)
}

// drawRequest draws the workspace's key, the route and the number of tokens of a
// new request.
func (c *caller) drawRequest() *request {
	config := c.run.currentConfig()
	tenant := config.Tenants[c.random.IntN(len(config.Tenants))]
	key := tenant.Keys[0]
	if keys := config.Tenants[0].Keys; len(keys) > 1 {
		c.newestKey = keys[len(keys)-1]
	}
	if c.newestKey != "" && c.random.Float64() < newestKeyShare {
		key = c.newestKey
	}
	c.count++
	req := &request{
		id:    c.requestID(),
		route: c.drawRoute(config.Routes),
		key:   key,
	}
	req.tokens = site.TokensPerEvent * (1 + c.random.IntN(c.run.maxEvents(req.route)))
	return req
}

// drawRoute draws a route, now and then one that was added.
func (c *caller) drawRoute(routes []site.Route) *site.Route {
	if c.random.Float64() < addedRouteShare {
		added := slices.DeleteFunc(slices.Clone(routes), func(x site.Route) bool { return !isAddedRoute(&x) })
		if len(added) > 0 {
			return &added[c.random.IntN(len(added))]
		}
	}
	// Callers do not know that a route is removed for a moment.
	base := c.run.base.Routes[c.random.IntN(len(c.run.base.Routes))]
	if i := slices.IndexFunc(routes, func(x site.Route) bool { return x.Name == base.Name }); i >= 0 {
		return &routes[i]
	}
	return &base
}

// send sends a request, checks its answer and records both. It reports whether
// the caller may retry, and after which delay.
func (c *caller) send(ctx context.Context, req *request) (retry bool, delay time.Duration) {
	callerReq := site.CallerRequest{
		Address: c.node.callersAddr,
		ID:      req.id,
		Host:    req.route.Host,
		Path:    req.route.Prefix + strconv.Itoa(c.count),
		Method:  http.MethodPost,
		Key:     req.key,
		Timeout: c.run.timeout(req.route),
	}
	if req.route.Service == "assistant" {
		callerReq.Model = c.drawModel()
		callerReq.PromptTokens, callerReq.OutputTokens = 20+c.random.IntN(200), req.tokens
		req.parts = c.drawParts()
		callerReq.Parts = req.parts
	}
	requestCtx, cancel := context.WithTimeout(ctx, callerReq.Timeout+time.Second)
	defer cancel()
	c.drawBody(requestCtx, req, &callerReq)
	httpReq, err := callerReq.Request()
	if err != nil {
		panic("soak: encode request: " + err.Error())
	}
	var mu sync.Mutex
	connected, written := false, time.Time{}
	requestCtx = httptrace.WithClientTrace(requestCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			connected = true
		},
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			if w.Err == nil {
				written = time.Now()
			}
		},
	})
	req.node, req.sent = c.node, time.Now()
	stable, undisturbed := c.run.isStable(req.node), req.node.isUndisturbed()
	res, err := c.client.Do(httpReq.WithContext(requestCtx))
	if err == nil {
		err = c.readAnswer(req, res)
	}
	req.ended, req.err = time.Now(), err
	mu.Lock()
	req.connected, req.written = connected, written
	mu.Unlock()
	req.stable = stable && c.run.isStable(req.node)
	stopping, _ := req.node.state()
	req.stopping = undisturbed && stopping && req.node.isUndisturbed()
	req.storeRefused = req.node.wasRefused()
	if ctx.Err() == nil {
		c.run.addRequest(req)
	}
	switch {
	case res == nil || res.Close:
		c.client.CloseIdleConnections()
		c.node = nil
	case req.status == http.StatusTooManyRequests, req.status == http.StatusServiceUnavailable:
		seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if err != nil {
			seconds = 0
		}
		if !c.staysConnected() {
			c.switchNode()
		}
		return true, min(maxRetryDelay, time.Duration(seconds*float64(time.Second)))
	}
	if c.node == nil {
		c.switchNode()
	}
	repeatable := req.route.Kind == site.KindIdempotent
	return repeatable && !req.complete, 0
}

// staysConnected reports whether the caller keeps its connection after a refusal, until
// the process is gone. Half of the callers do.
func (c *caller) staysConnected() bool {
	return (c.run.opts.Incidents || c.run.opts.Planned) && c.number%2 == 0
}

// demandShiftInterval is how long most of the demand stays on one model.
const demandShiftInterval = 2500 * time.Millisecond

// drawModel draws a model or adapter. The model with most of the demand changes
// every demandShiftInterval.
func (c *caller) drawModel() string {
	models := c.run.currentConfig().Services[0].Engine.Models
	m := models[int(time.Since(c.run.began)/demandShiftInterval)%len(models)]
	if c.random.Float64() < 0.4 {
		m = models[c.random.IntN(len(models))]
	}
	if m.Adapters > 0 && c.random.Float64() < 0.3 {
		return fmt.Sprintf("%s/a%d", m.Name, 1+c.random.IntN(m.Adapters))
	}
	return m.Name
}

// readAnswer reads the response and compares it with the expected answer to the
// request.
func (c *caller) readAnswer(req *request, res *http.Response) error {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	req.status, req.events = res.StatusCode, bytes.Count(body, []byte("id: "))
	if res.StatusCode != http.StatusOK {
		req.complete = err == nil
		req.answer = string(body[:min(len(body), 400)])
		return err
	}
	req.complete = err == nil
	want := []byte(site.PlainAnswer(req.id))
	if req.route.Kind == site.KindStream {
		var all strings.Builder
		for i := 1; i <= site.Events(req.tokens); i++ {
			all.WriteString(site.Event(req.id, i))
		}
		want = []byte(all.String())
	}
	switch {
	case !bytes.HasPrefix(want, body):
		req.problem = fmt.Sprintf("got %.120q", body)
	case err == nil && len(body) < len(want):
		req.problem = fmt.Sprintf("ended as complete after %d of %d bytes", len(body), len(want))
	}
	return err
}
