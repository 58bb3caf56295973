package plat

import (
	"trefoildale.example/trefoildale/internal/fake/host"
	"trefoildale.example/trefoildale/internal/store"
)

// Local is a Platform that is served on the loopback interface.
type Local struct {
	*Platform
	URL    string
	Client *store.Client
}

// Start returns a Local and a function that stops it.
func Start(opts Options) (*Local, func(), error) {
	p, release := New(opts)
	addr, stop, err := host.Serve(p.Handler(), release)
	if err != nil {
		return nil, nil, err
	}
	url := "http://" + addr
	c, closeClient := store.NewClient(url)
	return &Local{
		Platform: p,
		URL:      url,
		Client:   c,
	}, func() {
		closeClient()
		stop()
	}, nil
}
