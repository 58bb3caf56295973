package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/internal/limit"
	"trefoildale.example/trefoildale/internal/once"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/internal/quota"
	"trefoildale.example/trefoildale/internal/route"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	benchKey = "secret-of-the-desk"
	// benchTokens is the max_tokens of the requests, and the length of the answers.
	benchTokens = 6
	// benchBackoff leaves time for a change while a request waits before a retry.
	benchBackoff = 300 * time.Millisecond
)

// bench is a server with stand-ins at its interfaces. Each of them can hold a request.
type bench struct {
	t        *testing.T
	server   *Server
	checker  *keys.Checker
	routes   *route.Table
	address  string
	config   *spec.Config
	layout   place.Layout
	admitter *stubAdmitter
	demand   *stubDemand
	table    *stubTable
	engines  map[string]*stubEndpoint
	// home is the endpoint that has the model.
	home string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	clk := clock.NewReal()
	client, release := engine.NewClient(engine.Options{})
	t.Cleanup(release)
	b := &bench{
		t:        t,
		checker:  keys.NewChecker(clk),
		routes:   route.NewTable(route.Settings{Domain: "d1"}),
		config:   benchConfig(),
		admitter: &stubAdmitter{},
		demand:   &stubDemand{changed: make(chan struct{}), urgent: make(chan struct{}, 100)},
		table:    &stubTable{rows: make(map[string]store.Row)},
		engines:  make(map[string]*stubEndpoint),
		home:     "e1",
	}
	for i := range b.config.Endpoints {
		e := &b.config.Endpoints[i]
		b.engines[e.Name] = newStubEndpoint(t)
		e.Address = b.engines[e.Name].address
	}
	b.engines["other"] = newStubEndpoint(t)
	b.server = New(Options{
		Node:     "n1",
		Clock:    clk,
		Keys:     b.checker,
		Admitter: b.admitter,
		Routes:   b.routes,
		Engines:  client,
		Once: &once.Guard{
			Table: b.table,
			Clock: clk,
			Node:  "n1",
		},
		Audit:         audit.New("n1", 100, clk),
		Stats:         stats.New(),
		Demand:        b.demand,
		EndpointLimit: 1,
	})
	b.server.retryPolicy.Backoff = benchBackoff
	b.apply(func(*spec.Config) {})
	b.setLayout(b.home, "m1", "a1")
	srv := httptest.NewServer(b.server.Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(b.releaseAll)
	b.address = strings.TrimPrefix(srv.URL, "http://")
	return b
}

func benchConfig() *spec.Config {
	c := spec.New()
	c.Domains = []spec.Domain{{Name: "d1", Region: "r"}}
	c.Services = []spec.Service{
		{Name: "lm", Kind: spec.KindModel},
		{
			Name:   "app",
			Kind:   spec.KindPlain,
			Prefix: "/app/",
			Methods: []spec.Method{
				{Method: http.MethodGet, Path: "*", Repeatable: true},
				{Method: http.MethodPost, Path: "*"},
			},
		},
		{
			Name:    "open",
			Kind:    spec.KindPlain,
			Prefix:  "/open/",
			Open:    true,
			Methods: []spec.Method{{Method: http.MethodGet, Path: "*", Repeatable: true}},
		},
	}
	for name, service := range map[string]string{"e1": "lm", "e2": "lm", "p1": "app", "o1": "open"} {
		c.Endpoints = append(c.Endpoints, spec.Endpoint{Name: name, Service: service, Domain: "d1", MemoryMiB: 1000, Speed: 1})
	}
	c.Models = []spec.Model{
		{Name: "m1", Service: "lm", Version: "1", MemoryMiB: 10, MaxContextTokens: 1000, OnDemand: spec.Duration(20 * time.Second)},
		{Name: "m2", Service: "lm", Version: "1", MemoryMiB: 10, MaxContextTokens: 1000},
	}
	c.Adapters = []spec.Adapter{{Name: "a1", Model: "m1", MemoryMiB: 1}, {Name: "a2", Model: "m1", MemoryMiB: 1}}
	c.Workspaces = []spec.Workspace{{Name: "club", Weight: 1}, {Name: "other", Weight: 1}}
	c.Keys = []spec.Key{{ID: "desk", Workspace: "club", Digest: spec.Digest(benchKey)}}
	return c
}

// apply changes the configuration in the order in which a node applies it.
func (b *bench) apply(change func(*spec.Config)) {
	next := *b.config
	next.Services = slices.Clone(next.Services)
	for i := range next.Services {
		next.Services[i].Methods = slices.Clone(next.Services[i].Methods)
	}
	next.Endpoints = slices.Clone(next.Endpoints)
	next.Models = slices.Clone(next.Models)
	next.Adapters = slices.Clone(next.Adapters)
	next.Workspaces = slices.Clone(next.Workspaces)
	next.Keys = slices.Clone(next.Keys)
	change(&next)
	b.config = &next
	b.checker.SetConfig(&next, time.Now().Add(time.Hour))
	b.routes.SetConfig(&next)
	b.server.SetConfig(&next)
}

// setLayout makes a model with an adapter resident at one endpoint, or at none.
func (b *bench) setLayout(endpoint, model, adapter string) {
	b.layout.Domain = "d1"
	b.layout.Seq++
	b.layout.Endpoints = nil
	if endpoint != "" {
		ml := place.ModelLayout{Model: model, Version: "1", Ready: true}
		if adapter != "" {
			ml.Adapters = []string{adapter}
		}
		b.layout.Endpoints = []place.EndpointLayout{{Endpoint: endpoint, Models: []place.ModelLayout{ml}, Seq: b.layout.Seq}}
	}
	b.routes.SetLayout(b.layout)
	b.demand.layoutChanged()
}

// releaseAll lets go of everything that is held.
func (b *bench) releaseAll() {
	b.admitter.release()
	b.table.release()
	b.table.updates.release()
	for _, e := range b.engines {
		e.release()
	}
}

// runs returns how often an endpoint ran the request with the given prompt or path.
func (b *bench) runs(mark string) int {
	n := 0
	for _, e := range b.engines {
		e.mu.Lock()
		n += e.ran[mark]
		e.mu.Unlock()
	}
	return n
}

// hold is something that can be held until release.
type hold struct {
	mu    sync.Mutex
	until chan struct{}
	// held is how many callers have waited.
	held int
}

func (h *hold) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = make(chan struct{})
}

func (h *hold) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until != nil {
		close(h.until)
		h.until = nil
	}
}

func (h *hold) wait(ctx context.Context) error {
	h.mu.Lock()
	until := h.until
	if until == nil {
		h.mu.Unlock()
		return nil
	}
	h.held++
	h.mu.Unlock()
	select {
	case <-until:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *hold) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

// stubAdmitter admits requests unless it refuses all of a workspace.
type stubAdmitter struct {
	hold
	refused sync.Map
	// unknown is how many of the next requests are of a workspace that is not known yet.
	unknown atomic.Int32
}

func (a *stubAdmitter) Admit(ctx context.Context, workspace string, tokens int64) (limit.Charge, error) {
	if err := a.wait(ctx); err != nil {
		return limit.Charge{}, err
	}
	if a.unknown.Add(-1) >= 0 {
		return limit.Charge{}, &limit.RefusedError{Workspace: workspace, Wanted: tokens, Reason: quota.ReasonUnknown, After: time.Hour}
	}
	if _, ok := a.refused.Load(workspace); ok {
		return limit.Charge{}, &limit.RefusedError{Workspace: workspace, Wanted: tokens, Reason: quota.ReasonRate, After: time.Minute}
	}
	return limit.Charge{}, nil
}

// stubDemand announces waiting requests and changes of the layout.
type stubDemand struct {
	mu      sync.Mutex
	changed chan struct{}
	urgent  chan struct{}
}

func (*stubDemand) RecordArrival(string, string, string, int64) {}
func (*stubDemand) RecordEnd(RequestResult)                     {}
func (*stubDemand) ReportLayoutMismatch(string)                 {}

func (*stubDemand) MarkInUse(string, string, string) (done func()) { return func() {} }

func (d *stubDemand) TrackWaiting(string, string) (done func()) {
	d.urgent <- struct{}{}
	return func() {}
}

func (d *stubDemand) LayoutChanged() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *stubDemand) layoutChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

// stubTable holds rows in memory. Inserts can be held, and updates.
type stubTable struct {
	hold
	updates hold
	rowsMu  sync.Mutex
	rows    map[string]store.Row
}

func (s *stubTable) Get(_ context.Context, key string) (store.Row, error) {
	s.rowsMu.Lock()
	defer s.rowsMu.Unlock()
	r, ok := s.rows[key]
	if !ok {
		return r, store.ErrNotFound
	}
	return r, nil
}

func (s *stubTable) Insert(ctx context.Context, key string, value []byte) (store.Row, error) {
	if err := s.wait(ctx); err != nil {
		return store.Row{}, err
	}
	return s.put(key, value, 0)
}

func (s *stubTable) Update(ctx context.Context, key string, value []byte, version int64) (store.Row, error) {
	if err := s.updates.wait(ctx); err != nil {
		return store.Row{}, err
	}
	return s.put(key, value, version)
}

func (s *stubTable) put(key string, value []byte, version int64) (store.Row, error) {
	s.rowsMu.Lock()
	defer s.rowsMu.Unlock()
	if s.rows[key].Version != version {
		return store.Row{}, store.ErrConflict
	}
	s.rows[key] = store.Row{Key: key, Value: value, Version: version + 1}
	return s.rows[key], nil
}

func (s *stubTable) Delete(_ context.Context, key string, _ int64) error {
	s.rowsMu.Lock()
	defer s.rowsMu.Unlock()
	delete(s.rows, key)
	return nil
}

func (*stubTable) Scan(context.Context, string, string, int) ([]store.Row, error) { return nil, nil }

// stubEndpoint is an engine or the endpoint of a plain service.
type stubEndpoint struct {
	hold
	address string

	mu  sync.Mutex
	ran map[string]int
	// declines and losses are how many of the next requests are refused as not run, or run
	// and not answered; breaks how many of the next streams end early.
	declines, losses, breaks int
	// aborts makes held streams end early, and early holds them before their first token.
	aborts, early bool
}

func newStubEndpoint(t *testing.T) *stubEndpoint {
	e := &stubEndpoint{ran: make(map[string]int)}
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	t.Cleanup(e.release)
	e.address = strings.TrimPrefix(srv.URL, "http://")
	return e
}

// take takes one of the next n.
func (e *stubEndpoint) take(n *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (e *stubEndpoint) run(mark string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[mark]++
}

func (e *stubEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	body, _ := io.ReadAll(r.Body)
	var in struct {
		Prompt string
		Stream bool
	}
	_ = json.Unmarshal(body, &in)
	mark := in.Prompt
	if !strings.HasPrefix(r.URL.Path, "/v1/") {
		mark = r.URL.Path
	}
	switch {
	case r.Method == http.MethodDelete:
		return
	case e.take(&e.declines):
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"busy","message":"busy","not-run":true}}`)
		return
	}
	if from, ok := strings.CutPrefix(r.URL.RawQuery, "from="); ok {
		n := 0
		fmt.Sscan(from, &n)
		e.stream(w, r, n, n)
		return
	}
	e.run(mark)
	switch {
	case e.take(&e.losses):
		_ = e.wait(r.Context())
		panic(http.ErrAbortHandler)
	case in.Stream:
		if e.early && e.wait(r.Context()) != nil {
			return
		}
		e.stream(w, r, 0, 2)
	default:
		if e.wait(r.Context()) != nil {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"text":"whole %s","usage":{"prompt_tokens":1,"completion_tokens":%d}}`, mark, benchTokens)
	}
}

// stream sends the tokens after from. It waits after the token pause.
func (e *stubEndpoint) stream(w http.ResponseWriter, r *http.Request, from, pause int) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := from + 1; i <= benchTokens; i++ {
		if i == pause+1 {
			_ = out.Flush()
			if e.take(&e.breaks) {
				panic(http.ErrAbortHandler)
			}
			if e.wait(r.Context()) != nil {
				return
			}
			e.mu.Lock()
			aborts := e.aborts
			e.mu.Unlock()
			if aborts {
				panic(http.ErrAbortHandler)
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"text\":\"t%d\"}\n\n", i, i)
	}
	fmt.Fprintf(w, "data: {\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", benchTokens)
}

// exchange is a request on a connection of its own.
type exchange struct {
	t    *testing.T
	conn net.Conn
	rest string
	// progress has the events of a stream as they arrive.
	progress chan string
	answered chan reply
}

// reply is what the caller got.
type reply struct {
	err    error
	status int
	body   string
	code   string
	notRun bool
}

// begin sends a request up to the given part: "header", "body" or all of it.
func (b *bench) begin(method, path, body, part string, header ...string) *exchange {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close() })
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", method, path, len(body))
	for i := 0; i+1 < len(header); i += 2 {
		head += header[i] + ": " + header[i+1] + "\r\n"
	}
	all := head + "\r\n" + body
	first := len(all)
	switch part {
	case "header":
		first = len(head) / 2
	case "body":
		first = len(all) - 1
	}
	if _, err := io.WriteString(conn, all[:first]); err != nil {
		b.t.Fatal(err)
	}
	x := &exchange{
		t:        b.t,
		conn:     conn,
		rest:     all[first:],
		progress: make(chan string, 100),
		answered: make(chan reply, 1),
	}
	go x.read(method)
	return x
}

// sendRest sends what begin has left out.
func (x *exchange) sendRest() {
	// The server may have answered and closed the connection before.
	_, _ = io.WriteString(x.conn, x.rest)
}

func (x *exchange) read(method string) {
	var a reply
	defer func() { x.answered <- a }()
	r := bufio.NewReader(x.conn)
	req, _ := http.NewRequest(method, "http://x/", http.NoBody)
	res, err := http.ReadResponse(r, req)
	if err != nil {
		a.err = err
		return
	}
	defer res.Body.Close()
	a.status = res.StatusCode
	var text strings.Builder
	lines := bufio.NewReader(res.Body)
	for {
		line, err := lines.ReadString('\n')
		text.WriteString(line)
		if strings.HasPrefix(line, "id: ") {
			x.progress <- line
		}
		if err != nil {
			if err != io.EOF {
				a.err = err
			}
			break
		}
	}
	a.body = text.String()
	_, problem, _ := strings.Cut(a.body, "event: error\ndata: ")
	if problem == "" {
		problem = a.body
	}
	var body errorBody
	if json.Unmarshal([]byte(problem), &body) == nil {
		a.code, a.notRun = body.Error.Code, body.Error.NotRun
	}
}

// within returns the answer if it comes within d.
func (x *exchange) within(d time.Duration) (reply, bool) {
	select {
	case a := <-x.answered:
		return a, true
	case <-time.After(d):
		return reply{}, false
	}
}

// isWhole reports whether the reply is a whole answer.
func (a reply) isWhole() bool {
	if a.err != nil || a.status != http.StatusOK && a.status != http.StatusCreated {
		return false
	}
	if !strings.HasPrefix(a.body, "id: 1\n") {
		return strings.HasPrefix(a.body, `{"text":"whole `)
	}
	for i := range benchTokens {
		if strings.Count(a.body, fmt.Sprintf("id: %d\n", i+1)) != 1 {
			return false
		}
	}
	return strings.HasSuffix(a.body, "data: [DONE]\n\n")
}

func (b *bench) eventually(what string, check func() bool) {
	b.t.Helper()
	for end := time.Now().Add(10 * time.Second); !check(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("the test did not reach: %s", what)
		}
	}
}
