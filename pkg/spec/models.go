package spec

import "time"

// DefaultOnDemand is the on-demand deadline of a model that states none.
const DefaultOnDemand = Duration(30 * time.Second)

func (m *Model) fill() {
	if m.OnDemand == 0 {
		m.OnDemand = DefaultOnDemand
	}
}

func (k *checker) models() {
	seen := make(map[string]bool, len(k.c.Models))
	for i, m := range k.c.Models {
		m.fill()
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
		room, ok := k.room[m.Service]
		switch {
		case !ok:
			s.add("service", "service %q has no endpoint, so the model could not be served", m.Service)
		case m.MemoryMiB > room:
			s.add("memory-mib", "%d MiB fit no endpoint of service %q; its largest has %d MiB", m.MemoryMiB, m.Service, room)
		}
	}
}
