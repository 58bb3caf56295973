package conf

import (
	"net/url"
	"time"
)

// Platform says where the platform's table and objects are.
type Platform struct {
	URL string `yaml:"url"`
	// Timeout bounds one request.
	Timeout Duration `yaml:"timeout"`
}

// DefaultPlatformTimeout is below the 1.5 s after which a node that hears
// nothing new asks the table itself.
const DefaultPlatformTimeout = Duration(time.Second)

func (p *Platform) check(c *checker) {
	fill(&p.Timeout, DefaultPlatformTimeout)
	switch u, err := url.Parse(p.URL); {
	case p.URL == "":
		c.add("url", "is missing")
	case err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https":
		c.add("url", "%q is not an http or https URL", p.URL)
	case u.User != nil:
		c.add("url", "must hold no user name or password")
	}
	if p.Timeout < 0 {
		c.add("timeout", "is below zero")
	}
}
