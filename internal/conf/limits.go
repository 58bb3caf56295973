package conf

import "time"

// Limits protects the process from the requests of a single caller.
type Limits struct {
	MaxBodyBytes   int64 `yaml:"max-body-bytes"`
	MaxHeaderBytes int   `yaml:"max-header-bytes"`
	// StreamIdle is the time after which a stream is ended if the caller reads
	// nothing.
	StreamIdle Duration `yaml:"stream-idle"`
}

// Defaults of Limits.
const (
	// DefaultMaxBodyBytes allows a prompt of about a million tokens.
	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultStreamIdle     = Duration(30 * time.Second)
)

func (l *Limits) check(c *checker) {
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.StreamIdle, DefaultStreamIdle)
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
