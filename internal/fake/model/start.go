package model

import (
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/host"
)

// Local is an Engine that is served on the loopback interface.
type Local struct {
	*Engine
	// Addr is its host and port.
	Addr   string
	Client *engine.Client
}

// Start returns a Local and a function that stops it.
func Start(opts Options) (*Local, func(), error) {
	e, release := New(opts)
	c, closeClient := engine.NewClient(engine.Options{})
	addr, stop, err := host.Serve(e.Handler(), closeClient, release)
	if err != nil {
		return nil, nil, err
	}
	return &Local{
		Engine: e,
		Addr:   addr,
		Client: c,
	}, stop, nil
}
