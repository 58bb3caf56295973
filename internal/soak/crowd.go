package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// crowdMemoryMB is the memory of each process beside crowds, that of the smallest
	// machine of the platform.
	crowdMemoryMB = 144
	// crowdConns is how many clients of a crowd come at most.
	crowdConns = 60
	// crowdPieces is in how many pieces a crowd sends, with crowdPause between two.
	crowdPieces = 40
	crowdPause  = 10 * time.Millisecond
	// crowdBody is the size of a body that a client begins.
	crowdBody = 4 << 20
)

// crowdKinds are what clients outside the limits send: the head of a request, and what
// follows in pieces.
var crowdKinds = []struct {
	name  string
	head  string
	piece string
}{
	{name: "nothing"},
	{name: "head without end", head: "X: y\r\n", piece: strings.Repeat("a:\r\n", 4<<10)},
	{name: "header line without end", head: "X: ", piece: strings.Repeat("x", 32<<10)},
	{name: "body that stops before its end", head: fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody), piece: strings.Repeat("x", crowdBody/crowdPieces-1)},
	{name: "large chunks", head: "Transfer-Encoding: chunked\r\n\r\n", piece: fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))},
	{name: "chunks of one byte", head: "Transfer-Encoding: chunked\r\n\r\n", piece: strings.Repeat("1\r\nx\r\n", 4<<10)},
}

// drawCrowd draws a crowd of clients at one process, which stay for a time after they have
// stopped sending.
func (r *run) drawCrowd() func(context.Context) {
	n, kind := r.nodes[r.random.IntN(len(r.nodes))], crowdKinds[r.random.IntN(len(crowdKinds))]
	conns, stay := crowdConns/4+r.random.IntN(crowdConns*3/4), r.seconds(0.5, 3)
	return func(ctx context.Context) {
		r.mu.Lock()
		r.logf("crowd of %d at %s: %s, stays for %v", conns, n.name, kind.name, stay)
		r.mu.Unlock()
		var all sync.WaitGroup
		for range conns {
			all.Go(func() { r.joinCrowd(ctx, n.callersAddr, kind.head, []byte(kind.piece), stay) })
		}
		all.Wait()
	}
}

// joinCrowd is one client of a crowd.
func (r *run) joinCrowd(ctx context.Context, address, head string, piece []byte, stay time.Duration) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		// The process may be stopped just now.
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	if head != "" {
		route := r.base.Routes[0]
		_, err = fmt.Fprintf(c, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s", route.Prefix, route.Host, head)
	}
	for i := 0; i < crowdPieces && err == nil && len(piece) > 0 && sleep(ctx, crowdPause); i++ {
		_, err = bytes.NewReader(piece).WriteTo(c)
	}
	sleep(ctx, stay)
}

// drawOddAnswers draws an endpoint some of whose answers are none, or are reset.
func (r *run) drawOddAnswers() func(context.Context) {
	form := []site.Form{site.OddHead, site.ResetPart}[r.random.IntN(2)]
	i, d, ratio := r.random.IntN(len(r.site.Endpoints)), r.seconds(0.5, 4), 0.2+0.8*r.random.Float64()
	return func(ctx context.Context) {
		defer r.lockEndpoint(i)()
		e := r.site.Endpoints[i]
		r.mu.Lock()
		r.logf("odd answers %v: %.0f %% of %s for %v", form, 100*ratio, e.ID(), d)
		r.mu.Unlock()
		e.SetFaults(site.EndpointFaults{
			Forms:     []site.Form{form},
			FormRatio: ratio,
		})
		sleep(ctx, d)
		e.SetFaults(site.EndpointFaults{})
	}
}
