package conf

import "time"

// Limits protect the process from single callers.
type Limits struct {
	MaxBodyBytes   int64 `yaml:"max-body-bytes"`
	MaxHeaderBytes int   `yaml:"max-header-bytes"`
	// StreamIdle ends a stream whose caller takes nothing for this long.
	StreamIdle Duration `yaml:"stream-idle"`
}

// Defaults of Limits.
const (
	// DefaultMaxBodyBytes holds a prompt of about a million tokens.
	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultStreamIdle     = Duration(30 * time.Second)
)

func (l *Limits) check(c *checker) {
	fill(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	fill(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	fill(&l.StreamIdle, DefaultStreamIdle)
	if l.MaxBodyBytes < 0 {
		c.add("max-body-bytes", "is below zero")
	}
	if l.MaxHeaderBytes < 0 {
		c.add("max-header-bytes", "is below zero")
	}
	if l.StreamIdle < 0 {
		c.add("stream-idle", "is below zero")
	}
}
