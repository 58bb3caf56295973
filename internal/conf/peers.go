package conf

import "strconv"

// Peers says how the process finds other entry processes before it has read the
// platform's list of VMs.
type Peers struct {
	// Seeds lists the peer addresses to try first. It may be empty.
	Seeds []string `yaml:"seeds"`
}

func (p *Peers) check(c *checker) {
	for i, a := range p.Seeds {
		if host, port, ok := splitAddress(a); !ok || host == "" || port == 0 {
			c.add("seeds["+strconv.Itoa(i)+"]", "%q is not host:port", a)
		}
	}
}
