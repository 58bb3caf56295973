package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// callerWait is how long a caller waits for a whole answer.
	callerWait = 4 * time.Second
	// callerRetry bounds how long a caller waits before it comes back.
	callerRetry = time.Second
	// foreignKey is the part of the requests that bear the newest key of the first
	// workspace, which may have been withdrawn.
	foreignKey = 0.2
)

// caller asks the processes, one request after the other. It stays at a process
// and uses its connection as long as that works, then goes to one that is ready.
type caller struct {
	run    *run
	number int
	count  int
	random *rand.Rand
	client *http.Client
	node   *node
	extra  string // the key that was added last
}

// call asks until the context ends.
func (r *run) call(ctx context.Context, number int) {
	c := &caller{
		run:    r,
		number: number,
		random: rand.New(rand.NewPCG(r.o.Seed, uint64(number)+1)),
	}
	for ctx.Err() == nil {
		if c.node == nil {
			c.move()
		}
		a := c.draw()
		if again, after := c.ask(ctx, a); again && sleep(ctx, after) {
			// Only what was asked is the same; an answer to the first is none to this.
			c.count++
			c.ask(ctx, &asked{
				id:     c.name(),
				route:  a.route,
				key:    a.key,
				tokens: a.tokens,
			})
		}
		sleep(ctx, time.Duration(c.random.IntN(60))*time.Millisecond)
	}
}

// move goes to another process, one that is ready if there is any.
func (c *caller) move() {
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
		Transport: &http.Transport{},
	}
}

func (c *caller) name() string { return fmt.Sprintf("%d-%d-%d", c.run.o.Seed, c.number, c.count) }

// draw makes up a request.
func (c *caller) draw() *asked {
	config := c.run.newest()
	tenant := config.Tenants[c.random.IntN(len(config.Tenants))]
	key := tenant.Keys[0]
	if keys := config.Tenants[0].Keys; len(keys) > 1 {
		c.extra = keys[len(keys)-1]
	}
	if c.extra != "" && c.random.Float64() < foreignKey {
		key = c.extra
	}
	c.count++
	a := &asked{
		id:    c.name(),
		route: &config.Routes[c.random.IntN(len(config.Routes))],
		key:   key,
	}
	a.tokens = 8 * (1 + c.random.IntN(25))
	return a
}

// ask sends a request and judges its answer. It tells whether the caller may ask
// again, and when.
func (c *caller) ask(ctx context.Context, a *asked) (again bool, after time.Duration) {
	x := site.Ask{
		Address: c.node.callers,
		ID:      a.id,
		Host:    a.route.Host,
		Path:    a.route.Prefix + strconv.Itoa(c.count),
		Method:  http.MethodPost,
		Key:     a.key,
		Wait:    callerWait,
	}
	if a.route.Service == "assistant" {
		x.Model = c.model()
		x.In, x.Out = 20+c.random.IntN(200), a.tokens
	}
	q, err := x.Request()
	if err != nil {
		panic("soak: encode request: " + err.Error())
	}
	bounded, cancel := context.WithTimeout(ctx, callerWait+time.Second)
	defer cancel()
	a.node, a.sent = c.node, time.Now()
	calm := c.run.calmAt(a.node)
	res, err := c.client.Do(q.WithContext(bounded))
	if err == nil {
		c.read(a, res)
	}
	a.ended = time.Now()
	a.calm = calm && c.run.calmAt(a.node)
	if ctx.Err() == nil {
		c.run.keep(a)
	}
	switch {
	case err != nil || res.Close:
		c.client.CloseIdleConnections()
		c.node = nil
	case a.status == http.StatusTooManyRequests, a.status == http.StatusServiceUnavailable:
		seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if err != nil {
			seconds = 0
		}
		c.move()
		return true, min(callerRetry, time.Duration(seconds*float64(time.Second)))
	}
	if c.node == nil {
		c.move()
	}
	repeatable := a.route.Kind == site.KindIdempotent
	return repeatable && !a.whole, 0
}

// shiftEvery is how long callers mostly ask for the same model.
const shiftEvery = 2500 * time.Millisecond

// model draws a model or adapter. Demand moves from one model to the next.
func (c *caller) model() string {
	models := c.run.newest().Services[0].Engine.Models
	m := models[int(time.Since(c.run.began)/shiftEvery)%len(models)]
	if c.random.Float64() < 0.4 {
		m = models[c.random.IntN(len(models))]
	}
	if m.Adapters > 0 && c.random.Float64() < 0.3 {
		return fmt.Sprintf("%s/a%d", m.Name, 1+c.random.IntN(m.Adapters))
	}
	return m.Name
}

// read takes the answer and compares it with the one that the request must get.
func (c *caller) read(a *asked, res *http.Response) {
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	a.status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		a.whole = err == nil
		a.answer = string(body[:min(len(body), 200)])
		return
	}
	a.whole = err == nil
	want := []byte(site.PlainAnswer(a.id))
	if a.route.Kind == site.KindStream {
		var all strings.Builder
		for i := 1; i <= site.Events(a.tokens); i++ {
			all.WriteString(site.Event(a.id, i))
		}
		want = []byte(all.String())
	}
	switch {
	case !bytes.HasPrefix(want, body):
		a.problem = fmt.Sprintf("got %.120q", body)
	case err == nil && len(body) < len(want):
		a.problem = fmt.Sprintf("ended as complete after %d of %d bytes", len(body), len(want))
	}
}
