package weight

import "trefoildale.example/trefoildale/internal/fake/host"

// Local is a Store that is served on the loopback interface.
type Local struct {
	*Store
	URL string
}

// Start returns a Local and a function that stops it.
func Start(opts Options) (*Local, func(), error) {
	s, release := New(opts)
	addr, stop, err := host.Serve(s.Handler(), release)
	if err != nil {
		return nil, nil, err
	}
	return &Local{
		Store: s,
		URL:   "http://" + addr,
	}, stop, nil
}
