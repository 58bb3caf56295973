package rig

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/fake/proxy"
	"trefoildale.example/trefoildale/internal/fake/site"
)

// The figures of the pages for parts of prompts that crash engines.
const (
	// Stable is stable_ms of the site.
	Stable = 3 * time.Second
	// crashesKnown and allowedLate: no more than allowedLate requests may reach engines later
	// than Stable after that crash.
	crashesKnown = 5
	allowedLate  = 3
)

const (
	engines = 9
	// deadlyPart crashes the engines; commonPart and the sessions stand in sound requests too.
	deadlyPart   = "dead0001"
	commonPart   = "5c1e07a2"
	sessions     = 24
	noteDeadline = 10 * time.Second
	noteEvents   = 20
	// retryPause is the pause of a caller after a refusal.
	retryPause = 300 * time.Millisecond
)

// NoteStep is the time in which an engine makes an event of a stream.
const NoteStep = 40 * time.Millisecond

// Notes is a small deployment with streams: two machines, and engines that hold a model.
type Notes struct {
	Record *Record
	Site   *site.Site

	entries []*Entry
	closers []func()
	sound   sync.WaitGroup
	deadly  sync.WaitGroup
	stop    chan struct{}

	ids            atomic.Int64
	whole, refused atomic.Int64

	mu       sync.Mutex
	proxies  map[string]*proxy.Proxy
	crashes  []time.Time
	isDeadly map[string]bool
	// broken is when sound requests ended without a whole answer or a refusal.
	broken []time.Time
}

func notesConfig() site.Config {
	return site.Config{
		Version: 1,
		Routes: []site.Route{{
			Name:        "notes",
			Host:        "club.example",
			Prefix:      "/notes/",
			Kind:        site.KindStream,
			TimeoutMS:   float64(noteDeadline.Milliseconds()),
			ObjectiveMS: 300,
			Priority:    1,
			Service:     "assistant",
			Attempts:    1,
			PauseMS:     200,
		}},
		Services: []site.Service{{
			Name:       "assistant",
			HealthPath: "/health",
			Engine: &site.EngineClass{
				Slots:          96,
				CacheTokens:    157_783,
				WeightsMB:      83_000,
				AdapterSlots:   5,
				LoadsPerSecond: 2.2,
				Models:         []site.Model{{Name: "m0", MB: 34_300, LoadS: 2, DiskS: 0.51, WarmS: 0.39}},
			},
		}},
		Limits: site.Limits{
			MaxHeaderBytes:  16_384,
			MaxBodyBytes:    4 << 20,
			HeaderTimeoutMS: 3000,
			IdleTimeoutMS:   15_000,
		},
		Tenants: []site.Tenant{{Name: "club", Keys: []string{"key-club"}, Unit: "tokens", PlainTokens: 20}},
	}
}

// StartNotes starts the deployment, and callers of each machine that send sound requests one after
// the other. It returns a function that ends it. The settings and logs of its processes are in a
// temporary folder.
func StartNotes(record *Record, folder string, callers int) (*Notes, func(), error) {
	n := &Notes{
		Record:   record,
		stop:     make(chan struct{}),
		proxies:  make(map[string]*proxy.Proxy),
		isDeadly: make(map[string]bool),
	}
	release := func() {
		for i := len(n.closers) - 1; i >= 0; i-- {
			n.closers[i]()
		}
	}
	if err := n.start(folder, callers); err != nil {
		release()
		return nil, nil, err
	}
	return n, release, nil
}

func (n *Notes) start(folder string, callers int) error {
	s, release, err := site.Start(site.Layout{
		Config:            notesConfig(),
		Domains:           []string{"tunapuna", "curepe"},
		Endpoints:         map[string]int{"assistant": engines},
		EventInterval:     NoteStep,
		AdvertisedAddress: n.advertise,
		OnAlive:           n.setAlive,
		Store: site.StoreOptions{
			Reads:  2000,
			Writes: 400,
		},
	})
	if err != nil {
		return err
	}
	n.Site, n.closers = s, append(n.closers, release)
	store, closeStore, err := site.Serve(s.Store.Handler(""))
	if err != nil {
		return err
	}
	n.closers = append(n.closers, closeStore)
	if n.entries, err = StartEntries(folder, store, func(f func()) { n.closers = append(n.closers, f) }); err != nil {
		return err
	}
	for _, e := range n.entries {
		for range callers {
			n.sound.Go(func() { n.callSound(e) })
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// StartEntries starts an entry process in each of two zones and waits until the machines are in
// touch. It passes the functions that end them to onClose.
func StartEntries(folder, store string, onClose func(func())) ([]*Entry, error) {
	var out []*Entry
	var seeds []string
	for i, zone := range []string{"tunapuna", "curepe"} {
		ip := LoopbackIP(i + 1)
		seeds = append(seeds, net.JoinHostPort(ip, "8229"))
		e, err := NewEntry(Options{
			Name:     fmt.Sprintf("front-%s-1", zone),
			Zone:     zone,
			IP:       ip,
			Store:    store,
			Seeds:    seeds,
			MemoryMB: 284,
			Folder:   folder,
		})
		if err != nil {
			return nil, err
		}
		if err := e.Start(); err != nil {
			return nil, err
		}
		onClose(e.Kill)
		out = append(out, e)
	}
	for _, e := range out {
		if err := e.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(Stable + 500*time.Millisecond)
	return out, nil
}

// advertise puts a proxy before an engine, whose address refuses connections while it is down.
func (n *Notes) advertise(id, address string) (string, error) {
	x, release, err := proxy.New(address)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proxies[id] = x
	n.closers = append(n.closers, release)
	return x.Addr(), nil
}

func (n *Notes) setAlive(id string, alive bool) {
	n.mu.Lock()
	x := n.proxies[id]
	n.mu.Unlock()
	if err := x.SetDown(!alive); err != nil {
		n.Record.Printf("address of %s: %v", id, err)
	}
	n.Record.Printf("engine %s runs: %v", id, alive)
}

// RecordCrash records that an engine crashes under the deadly part.
func (n *Notes) RecordCrash(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashes = append(n.crashes, time.Now())
	n.Record.Printf("engine %s crashes under the deadly part, crash %d", id, len(n.crashes))
}

// IsDeadly reports whether a request has the deadly part.
func (n *Notes) IsDeadly(request string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isDeadly[request]
}

// DeadlyPart is the part that crashes engines.
func (*Notes) DeadlyPart() string { return deadlyPart }

// SendDeadly sends a request with the deadly part, to the machines in turn. It does not wait for
// the answer.
func (n *Notes) SendDeadly(i int) {
	parts := fmt.Sprintf("%s:100,%s,%s:60", commonPart, session(i), deadlyPart)
	n.deadly.Go(func() { n.call(n.entries[i%len(n.entries)], parts, true) })
}

func session(i int) string { return fmt.Sprintf("5e55%04x:60", i%sessions) }

// callSound sends sound requests. They have the caller and all parts of the deadly ones but one.
func (n *Notes) callSound(e *Entry) {
	for i := 0; ; i++ {
		select {
		case <-n.stop:
			return
		default:
		}
		n.call(e, fmt.Sprintf("%s:100,%s", commonPart, session(i)), false)
	}
}

// call sends a request and reads its answer. The request's own part is added to the parts.
func (n *Notes) call(e *Entry, parts string, isDeadly bool) {
	id := fmt.Sprintf("%016x", n.ids.Add(1))
	if isDeadly {
		n.mu.Lock()
		n.isDeadly[id] = true
		n.mu.Unlock()
	}
	c, err := net.DialTimeout("tcp", e.Callers, time.Second)
	if err != nil {
		n.Record.Printf("request %s: %v", id, err)
		time.Sleep(retryPause)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(noteDeadline))
	body := "prompt of " + id
	n.Record.Printf("request %s to %s, parts %s, deadly: %v", id, e.Name, parts, isDeadly)
	fmt.Fprintf(c, "POST /notes/ HTTP/1.1\r\nHost: club.example\r\nTrefoildale-Request-Id: %s\r\nTrefoildale-Deadline-Ms: %d\r\n"+
		"Trefoildale-Model: m0\r\nTrefoildale-Token-Count: 240,%d\r\nTrefoildale-Prompt-Prefix: %s,%s:20\r\n"+
		"Authorization: Bearer key-club\r\nContent-Length: %d\r\n\r\n%s", id, noteDeadline.Milliseconds(), noteEvents*site.TokensPerEvent, parts, id, len(body), body)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		n.Record.Printf("request %s: no answer: %v", id, err)
		n.countBroken(isDeadly)
		return
	}
	defer res.Body.Close()
	got := 0
	in := bufio.NewScanner(res.Body)
	for in.Scan() {
		if strings.HasPrefix(in.Text(), "id:") {
			got++
		}
	}
	n.Record.Printf("request %s: status %d, %d events, end: %v", id, res.StatusCode, got, in.Err())
	switch {
	case res.StatusCode == http.StatusOK && in.Err() == nil && got == noteEvents:
		n.count(isDeadly, &n.whole)
	case res.StatusCode == http.StatusServiceUnavailable:
		n.count(isDeadly, &n.refused)
		time.Sleep(retryPause)
	default:
		n.countBroken(isDeadly)
	}
}

func (n *Notes) countBroken(isDeadly bool) {
	if isDeadly {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broken = append(n.broken, time.Now())
}

func (*Notes) count(isDeadly bool, to *atomic.Int64) {
	if !isDeadly {
		to.Add(1)
	}
}

// Wait waits for all answers and ends the sound callers.
func (n *Notes) Wait() {
	n.deadly.Wait()
	close(n.stop)
	n.sound.Wait()
	for _, a := range n.Site.Journal.Arrivals() {
		n.Record.PrintAt(a.At, "request %s reached engine %s, deadly: %v, misdirected: %v, broken: %q", a.Request, a.Endpoint, n.IsDeadly(a.Request), a.Misdirected, a.Broken)
	}
}

// Judge counts the requests with the deadly part that reached engines later than stable_ms
// after the fifth crash. It returns the exit code of the case.
func (n *Notes) Judge() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	late, brokenLate := 0, 0
	if len(n.crashes) >= crashesKnown {
		from := n.crashes[crashesKnown-1].Add(Stable)
		for _, a := range n.Site.Journal.Arrivals() {
			if n.isDeadly[a.Request] && a.At.After(from) {
				late++
			}
		}
		for _, at := range n.broken {
			if at.After(from) {
				brokenLate++
			}
		}
	}
	verdict := fmt.Sprintf("%d crashes; later than stable_ms after the fifth %d requests with the deadly part at engines, %d allowed, and %d sound requests broken off; in all %d sound requests whole, %d broken off, %d refused",
		len(n.crashes), late, allowedLate, brokenLate, n.whole.Load(), len(n.broken), n.refused.Load())
	n.Record.Printf("%s", verdict)
	fmt.Println(verdict)
	if late > allowedLate {
		return Broken
	}
	return Held
}

// Main runs a case: it prepares its record and a temporary folder, and returns the exit code.
func Main(folder string, play func(r *Record, temporary string) (int, error)) int {
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	defer os.RemoveAll(temporary)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		started.killAll()
		_ = os.RemoveAll(temporary)
		os.Exit(NotRun)
	}()
	record, err := NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	defer record.Close()
	code, err := play(record, temporary)
	if err != nil {
		record.Printf("not run: %v", err)
		fmt.Println(err)
		return NotRun
	}
	return code
}
