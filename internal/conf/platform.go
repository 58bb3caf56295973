package conf

import (
	"net/url"
	"time"
)

// Platform holds the settings for requests to the platform's table and objects.
type Platform struct {
	URL string `yaml:"url"`
	// Timeout is the timeout of a single request.
	Timeout Duration `yaml:"timeout"`
}

// DefaultPlatformTimeout is below the 1.5 s after which a node that receives
// nothing from its peers reads the table itself.
const DefaultPlatformTimeout = Duration(time.Second)

func (p *Platform) check(c *checker) {
	setDefault(&p.Timeout, DefaultPlatformTimeout)
	switch u, err := url.Parse(p.URL); {
	case p.URL == "":
		c.add("url", "is missing")
	case err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https":
		c.add("url", "%q is not an http or https URL", p.URL)
	case u.User != nil:
		c.add("url", "must not contain a user name or password")
	}
	if p.Timeout < 0 {
		c.add("timeout", "is below zero")
	}
}
