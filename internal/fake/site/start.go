package site

import (
	"fmt"
	"time"
)

// Layout describes the deployment that Start builds.
type Layout struct {
	Config  Config
	Domains []string
	// Endpoints is the number of endpoints by service. Each engine starts with one
	// model loaded, assigned in turn in the order of the service's models.
	Endpoints map[string]int
	// Slots is the concurrency limit of an endpoint of a plain service.
	Slots int
	// EventInterval is the time to produce one event of a stream or one plain
	// answer. HeartbeatInterval is the time between two updates of an endpoint's
	// entry.
	EventInterval     time.Duration
	HeartbeatInterval time.Duration
	// AdvertisedAddress returns the address under which an endpoint registers, so
	// that tests can put a proxy in front of it. If nil, the endpoint registers its
	// own address.
	AdvertisedAddress func(id, address string) (string, error)
	// OnAlive, if set, is called when an endpoint crashes and when it starts again.
	OnAlive func(id string, alive bool)
	Store   StoreOptions
}

// Site is a running deployment without the system's own nodes.
type Site struct {
	Store     *Store
	Journal   *Journal
	Endpoints []*Endpoint
}

// Defaults of a Layout.
const (
	DefaultEventInterval     = 15 * time.Millisecond
	DefaultHeartbeatInterval = 1200 * time.Millisecond
	defaultSlots             = 6
)

// Start starts a store and registered endpoints, and returns a function that
// stops them.
func Start(l Layout) (*Site, func(), error) {
	if l.EventInterval == 0 {
		l.EventInterval = DefaultEventInterval
	}
	if l.HeartbeatInterval == 0 {
		l.HeartbeatInterval = DefaultHeartbeatInterval
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
			e, closeEndpoint, err := s.addEndpoint(l, service, i)
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

func (s *Site) addEndpoint(l Layout, service Service, i int) (*Endpoint, func(), error) {
	o := EndpointOptions{
		ID:                fmt.Sprintf("i-%s-%d", service.Name, i+1),
		Domain:            l.Domains[i%len(l.Domains)],
		Service:           service.Name,
		Class:             service.Engine,
		Slots:             l.Slots,
		EventInterval:     l.EventInterval,
		HeartbeatInterval: l.HeartbeatInterval,
		Store:             s.Store,
		Journal:           s.Journal,
		OnAlive:           l.OnAlive,
	}
	if c := service.Engine; c != nil && len(c.Models) > 0 {
		o.InitialModels = []string{c.Models[i%len(c.Models)].Name}
	}
	e := NewEndpoint(o)
	address, release, err := e.Serve()
	if err != nil {
		return nil, nil, err
	}
	if l.AdvertisedAddress != nil {
		if address, err = l.AdvertisedAddress(o.ID, address); err != nil {
			release()
			return nil, nil, err
		}
	}
	e.Register(address)
	return e, release, nil
}
