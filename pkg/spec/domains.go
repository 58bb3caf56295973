package spec

func (k *checker) domains() {
	seen := make(map[string]bool, len(k.c.Domains))
	for i, d := range k.c.Domains {
		s := k.scope("domains", i, KindOfDomain, d.Name)
		s.name("name", d.Name)
		s.name("region", d.Region)
		unique(s, "name", seen, d.Name)
	}
}
