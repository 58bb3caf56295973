package plain

import "trefoildale.example/trefoildale/internal/fake/host"

// Local is a Service that is served on the loopback interface.
type Local struct {
	*Service
	// Addr is its host and port.
	Addr string
}

// Start returns a Local and a function that stops it.
func Start(opts Options) (*Local, func(), error) {
	s, release := New(opts)
	addr, stop, err := host.Serve(s.Handler(), release)
	if err != nil {
		return nil, nil, err
	}
	return &Local{
		Service: s,
		Addr:    addr,
	}, stop, nil
}
