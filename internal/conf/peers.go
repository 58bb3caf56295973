package conf

import "strconv"

// Peers says how the process finds the others before the platform's list of VMs
// is read.
type Peers struct {
	// Seeds are peer addresses to try first. The list may be empty.
	Seeds []string `yaml:"seeds"`
}

func (p *Peers) check(c *checker) {
	for i, a := range p.Seeds {
		if host, port, ok := splitAddress(a); !ok || host == "" || port == 0 {
			c.add("seeds["+strconv.Itoa(i)+"]", "%q is not host:port", a)
		}
	}
}
