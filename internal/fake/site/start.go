package site

import (
	"fmt"
	"time"
)

// Layout is what Start builds.
type Layout struct {
	Config  Config
	Domains []string
	// Endpoints is how many endpoints each service of the configuration has.
	// Engines hold one model each at the start, in the order of the models.
	Endpoints map[string]int
	// Slots is how many requests an endpoint of a plain service runs at once.
	Slots int
	// Step is the time for an event of a stream or a plain answer, Beat the time
	// between two heartbeats.
	Step time.Duration
	Beat time.Duration
	// Between returns the address under which an endpoint is announced, for
	// proxies. It may be nil.
	Between func(id, address string) (string, error)
	Store   StoreOptions
}

// Site is a running deployment without entry processes.
type Site struct {
	Store     *Store
	Journal   *Journal
	Endpoints []*Endpoint
}

// Defaults of a Layout.
const (
	DefaultStep  = 15 * time.Millisecond
	DefaultBeat  = 1200 * time.Millisecond
	defaultSlots = 6
)

// Start runs a store and registered endpoints until release.
func Start(l Layout) (*Site, func(), error) {
	if l.Step == 0 {
		l.Step = DefaultStep
	}
	if l.Beat == 0 {
		l.Beat = DefaultBeat
	}
	if l.Slots == 0 {
		l.Slots = defaultSlots
	}
	store, closeStore := NewStore(l.Store)
	s := &Site{
		Store:   store,
		Journal: new(Journal),
	}
	var closers []func()
	release := func() {
		for _, f := range closers {
			f()
		}
		closeStore()
	}
	if err := store.SetConfig(l.Config); err != nil {
		release()
		return nil, nil, err
	}
	for _, service := range l.Config.Services {
		for i := range l.Endpoints[service.Name] {
			e, closeEndpoint, err := s.add(l, service, i)
			if err != nil {
				release()
				return nil, nil, err
			}
			s.Endpoints = append(s.Endpoints, e)
			closers = append(closers, closeEndpoint)
		}
	}
	return s, release, nil
}

func (s *Site) add(l Layout, service Service, i int) (*Endpoint, func(), error) {
	o := EndpointOptions{
		ID:      fmt.Sprintf("i-%s-%d", service.Name, i+1),
		Domain:  l.Domains[i%len(l.Domains)],
		Service: service.Name,
		Class:   service.Engine,
		Slots:   l.Slots,
		Step:    l.Step,
		Beat:    l.Beat,
		Store:   s.Store,
		Journal: s.Journal,
	}
	if c := service.Engine; c != nil && len(c.Models) > 0 {
		o.Holds = []string{c.Models[i%len(c.Models)].Name}
	}
	e := NewEndpoint(o)
	address, release, err := e.Serve()
	if err != nil {
		return nil, nil, err
	}
	if l.Between != nil {
		if address, err = l.Between(o.ID, address); err != nil {
			release()
			return nil, nil, err
		}
	}
	e.Register(address)
	return e, release, nil
}
