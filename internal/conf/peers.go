package conf

import "strconv"

// Peers holds the settings for finding other entry processes before the process
// has read the platform's list of VMs.
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
