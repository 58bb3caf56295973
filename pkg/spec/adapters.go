package spec

func (k *checker) adapters() {
	seen := make(map[string]bool, len(k.c.Adapters))
	for i, a := range k.c.Adapters {
		s := k.scope("adapters", i, KindOfAdapter, a.Name)
		s.name("name", a.Name)
		unique(s, "name", seen, a.Name)
		if _, dup := k.index.Models[a.Name]; dup {
			// Callers name an adapter in the same field as a model.
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
		if room, ok := k.room[m.Service]; ok && m.MemoryMiB <= room && a.MemoryMiB > room-m.MemoryMiB {
			s.add("memory-mib", "%d MiB fit no endpoint of service %q beside the %d MiB of model %s; its largest has %d MiB", a.MemoryMiB, m.Service, m.MemoryMiB, m.Name, room)
		}
	}
}
