package proc

import (
	"expvar"
	"time"
)

// observer counts how requests end.
type observer struct {
	ended    *expvar.Map
	repeated *expvar.Map
}

func newObserver() *observer {
	return &observer{
		ended:    expvar.NewMap("requests-ended"),
		repeated: expvar.NewMap("requests-repeated"),
	}
}

// Ended implements serve.Observer.
func (o *observer) Ended(_, outcome string, _ time.Duration) { o.ended.Add(outcome, 1) }

// FirstByte implements serve.Observer.
func (o *observer) FirstByte(string, time.Duration) {}

// Repeated implements serve.Observer.
func (o *observer) Repeated(service string) { o.repeated.Add(service, 1) }
