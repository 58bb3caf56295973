package spec

import "time"

// DefaultOnDemand is the on-demand deadline of a model that does not set one.
const DefaultOnDemand = Duration(30 * time.Second)

func (m *Model) setDefaults() {
	if m.OnDemand == 0 {
		m.OnDemand = DefaultOnDemand
	}
}

func (k *checker) models() {
	seen := make(map[string]bool, len(k.c.Models))
	for i, m := range k.c.Models {
		m.setDefaults()
		s := k.scope("models", i, KindOfModel, m.Name)
		s.name("name", m.Name)
		unique(s, "name", seen, m.Name)
		if m.Version == "" {
			s.add("version", "is missing")
		}
		if m.MemoryMiB <= 0 {
			s.add("memory-mib", "is not above zero")
		}
		if m.MaxContextTokens <= 0 {
			s.add("max-context-tokens", "is not above zero")
		}
		if m.OnDemand < 0 {
			s.add("on-demand", "is below zero")
		}
		service, ok := k.index.Services[m.Service]
		switch {
		case !ok:
			s.add("service", "no service %q", m.Service)
			continue
		case service.Kind != KindModel:
			s.add("service", "service %q is not a model service", m.Service)
			continue
		}
		largestMiB, ok := k.maxEndpointMiB[m.Service]
		switch {
		case !ok:
			s.add("service", "service %q has no endpoint, so the model could not be served", m.Service)
		case m.MemoryMiB > largestMiB:
			s.add("memory-mib", "%d MiB does not fit on any endpoint of service %q; its largest endpoint has %d MiB", m.MemoryMiB, m.Service, largestMiB)
		}
	}
}
