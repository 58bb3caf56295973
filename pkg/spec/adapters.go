package spec

func (k *checker) adapters() {
	seen := make(map[string]bool, len(k.c.Adapters))
	for i, a := range k.c.Adapters {
		s := k.scope("adapters", i, KindOfAdapter, a.Name)
		s.name("name", a.Name)
		unique(s, "name", seen, a.Name)
		if _, dup := k.index.Models[a.Name]; dup {
			// A request selects a model or an adapter with the same field.
			s.add("name", "%q is also the name of a model", a.Name)
		}
		if a.MemoryMiB <= 0 {
			s.add("memory-mib", "is not above zero")
		}
		m, ok := k.index.Models[a.Model]
		if !ok {
			s.add("model", "no model %q", a.Model)
			continue
		}
		if largestMiB, ok := k.maxEndpointMiB[m.Service]; ok && m.MemoryMiB <= largestMiB && a.MemoryMiB > largestMiB-m.MemoryMiB {
			s.add("memory-mib", "%d MiB does not fit on any endpoint of service %q next to the %d MiB of model %s; its largest endpoint has %d MiB", a.MemoryMiB, m.Service, m.MemoryMiB, m.Name, largestMiB)
		}
	}
}
