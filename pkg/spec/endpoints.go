package spec

import (
	"net"
	"strconv"
)

// DefaultSpeed is the speed of an endpoint that does not set one. Speeds are
// relative to those of other endpoints.
const DefaultSpeed = 1.0

func (e *Endpoint) setDefaults() {
	if e.Speed == 0 {
		e.Speed = DefaultSpeed
	}
}

func (k *checker) endpoints() {
	seen := make(map[string]bool, len(k.c.Endpoints))
	addresses := make(map[string]string, len(k.c.Endpoints))
	for i, e := range k.c.Endpoints {
		e.setDefaults()
		s := k.scope("endpoints", i, KindOfEndpoint, e.Name)
		s.name("name", e.Name)
		unique(s, "name", seen, e.Name)
		service, ok := k.index.Services[e.Service]
		if !ok {
			s.add("service", "no service %q", e.Service)
		}
		if _, ok := k.index.Domains[e.Domain]; !ok {
			s.add("domain", "no domain %q", e.Domain)
		}
		if !isAddress(e.Address) {
			s.add("address", "%q is not host:port", e.Address)
		} else if other, dup := addresses[e.Address]; dup {
			s.add("address", "%q is also the address of endpoint %s", e.Address, other)
		} else {
			addresses[e.Address] = e.Name
		}
		switch {
		case e.MemoryMiB < 0:
			s.add("memory-mib", "is below zero")
		case e.MemoryMiB == 0 && ok && service.Kind == KindModel:
			s.add("memory-mib", "is missing; an endpoint of a model service needs memory")
		}
		if !finite(e.Speed) || e.Speed <= 0 {
			s.add("speed", "is not above zero")
		}
	}
}

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func itoa(n int) string { return strconv.Itoa(n) }
