package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// spareService is a plain service to which routes move, and spareModel a model that is
	// added and removed.
	spareService = "desk"
	spareModel   = "guests"
	// lowestRate and rateSpread set a rate that callers exceed.
	lowestRate = 50
	rateSpread = 500
)

// configChange is a kind of change of the configuration, and what undoes it. Both get the
// same random number.
type configChange struct {
	name  string
	apply func(r *run, c *site.Config, variant int)
	undo  func(r *run, c *site.Config, variant int)
}

var configChanges = []configChange{
	{
		name:  "burst raised",
		apply: func(_ *run, c *site.Config, v int) { c.Tenants[v%len(c.Tenants)].Burst += float64(1 + v) },
		undo:  func(_ *run, c *site.Config, v int) { c.Tenants[v%len(c.Tenants)].Burst -= float64(1 + v) },
	},
	{
		name: "rate lowered",
		apply: func(_ *run, c *site.Config, v int) {
			t := &c.Tenants[v%len(c.Tenants)]
			t.Rate = lowestRate + float64(v%rateSpread)
			t.Burst = t.Rate
		},
		undo: func(r *run, c *site.Config, v int) {
			i := v % len(c.Tenants)
			c.Tenants[i].Rate, c.Tenants[i].Burst = r.base.Tenants[i].Rate, r.base.Tenants[i].Burst
		},
	},
	{
		name:  "idle limit lowered",
		apply: func(_ *run, c *site.Config, v int) { c.Limits.IdleTimeoutMS = []float64{500, 1000, 2000, 5000}[v%4] },
		undo:  func(r *run, c *site.Config, _ int) { c.Limits.IdleTimeoutMS = r.base.Limits.IdleTimeoutMS },
	},
	{
		name: "key added",
		apply: func(_ *run, c *site.Config, v int) {
			c.Tenants[0].Keys = append(c.Tenants[0].Keys, fmt.Sprintf("key-%d", v%3))
		},
		undo: func(_ *run, c *site.Config, v int) {
			key := fmt.Sprintf("key-%d", v%3)
			c.Tenants[0].Keys = slices.DeleteFunc(c.Tenants[0].Keys, func(k string) bool { return k == key })
		},
	},
	{
		name: "route added",
		apply: func(_ *run, c *site.Config, v int) {
			route := c.Routes[v%len(c.Routes)]
			route.Name, route.Prefix = fmt.Sprintf("%s%d", addedRoutePrefix, v), fmt.Sprintf("/extra-%d/", v)
			c.Routes = append(c.Routes, route)
		},
		undo: func(_ *run, c *site.Config, v int) {
			name := fmt.Sprintf("%s%d", addedRoutePrefix, v)
			c.Routes = slices.DeleteFunc(c.Routes, func(x site.Route) bool { return x.Name == name })
		},
	},
	{
		name: "many routes added",
		apply: func(r *run, c *site.Config, v int) {
			for i := range maxAddedRoutes * (1 + v%4) / 4 {
				route := r.base.Routes[i%len(r.base.Routes)]
				route.Name, route.Prefix = fmt.Sprintf("%s%d-%d", addedRoutePrefix, v, i), fmt.Sprintf("/added/%d/%d/", v, i)
				c.Routes = append(c.Routes, route)
			}
		},
		undo: func(_ *run, c *site.Config, _ int) {
			c.Routes = slices.DeleteFunc(c.Routes, func(x site.Route) bool { return isAddedRoute(&x) })
		},
	},
	{
		name: "route removed",
		apply: func(r *run, c *site.Config, v int) {
			name := r.base.Routes[v%len(r.base.Routes)].Name
			if len(c.Routes) > 1 {
				c.Routes = slices.DeleteFunc(c.Routes, func(x site.Route) bool { return x.Name == name })
			}
		},
		undo: func(r *run, c *site.Config, v int) {
			base := r.base.Routes[v%len(r.base.Routes)]
			if !slices.ContainsFunc(c.Routes, func(x site.Route) bool { return x.Name == base.Name }) {
				c.Routes = append(c.Routes, base)
			}
		},
	},
	{
		name: "route moved",
		apply: func(_ *run, c *site.Config, v int) {
			editRoute(c, plainRoute(v), func(x *site.Route) { x.Service, x.Split = spareService, nil })
		},
		undo: undoRoute(func(x *site.Route, base site.Route) { x.Service, x.Split = base.Service, nil }, plainRoute),
	},
	{
		name: "route split",
		apply: func(_ *run, c *site.Config, v int) {
			editRoute(c, plainRoute(v), func(x *site.Route) {
				x.Service, x.Split = "", []site.Share{{Service: "booking", Weight: 1}, {Service: spareService, Weight: 1 + float64(v%3)}}
			})
		},
		undo: undoRoute(func(x *site.Route, base site.Route) { x.Service, x.Split = base.Service, nil }, plainRoute),
	},
	{
		name: "timeout lowered",
		apply: func(_ *run, c *site.Config, v int) {
			editRoute(c, anyRoute(v), func(x *site.Route) { x.TimeoutMS = 300 + float64(v%2000) })
		},
		undo: undoRoute(func(x *site.Route, base site.Route) { x.TimeoutMS = base.TimeoutMS }, anyRoute),
	},
	{
		name: "objective raised",
		apply: func(_ *run, c *site.Config, v int) {
			editRoute(c, anyRoute(v), func(x *site.Route) { x.ObjectiveMS += float64(1 + v%500) })
		},
		undo: undoRoute(func(x *site.Route, base site.Route) { x.ObjectiveMS = base.ObjectiveMS }, anyRoute),
	},
	{
		name: "attempts changed",
		apply: func(_ *run, c *site.Config, v int) {
			editRoute(c, anyRoute(v), func(x *site.Route) { x.Attempts = 1 + 2*(v%2) })
		},
		undo: undoRoute(func(x *site.Route, base site.Route) { x.Attempts = base.Attempts }, anyRoute),
	},
	{
		name: "resumability changed",
		apply: func(_ *run, c *site.Config, v int) {
			editRoute(c, streamRoute(v), func(x *site.Route) { x.Resumable = !x.Resumable })
		},
		undo: undoRoute(func(x *site.Route, base site.Route) { x.Resumable = base.Resumable }, streamRoute),
	},
	{
		name:  "model removed",
		apply: func(r *run, c *site.Config, _ int) { setSpareModel(r, c, false) },
		undo:  func(r *run, c *site.Config, _ int) { setSpareModel(r, c, true) },
	},
}

func anyRoute(v int) string    { return []string{"notes", "plans", "lookup", "book", "read"}[v%5] }
func plainRoute(v int) string  { return []string{"book", "read"}[v%2] }
func streamRoute(v int) string { return []string{"notes", "plans"}[v%2] }

func editRoute(c *site.Config, name string, f func(*site.Route)) {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			f(&c.Routes[i])
		}
	}
}

// undoRoute returns a change that sets fields of a route to those that it had at the start.
func undoRoute(set func(x *site.Route, base site.Route), name func(v int) string) func(*run, *site.Config, int) {
	return func(r *run, c *site.Config, v int) {
		i := slices.IndexFunc(r.base.Routes, func(x site.Route) bool { return x.Name == name(v) })
		editRoute(c, name(v), func(x *site.Route) { set(x, r.base.Routes[i]) })
	}
}

// setSpareModel adds the spare model to the service of the engines or removes it. The engines
// know it all the time.
func setSpareModel(r *run, c *site.Config, present bool) {
	e := *r.base.Services[0].Engine
	if !present {
		e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m site.Model) bool { return m.Name == spareModel })
	}
	c.Services = slices.Clone(c.Services)
	c.Services[0].Engine = &e
}

// changeSeries is a series of changes of one kind, each undone after a time.
type changeSeries struct {
	kind    configChange
	variant int
	steps   []changeStep
}

type changeStep struct {
	undoneAfter time.Duration
	nextAfter   time.Duration
}

// drawChanges draws a series of changes: mostly within a moment, some lasting longer.
func (r *run) drawChanges() changeSeries {
	s := changeSeries{
		kind:    configChanges[r.random.IntN(len(configChanges))],
		variant: r.random.IntN(1000),
	}
	for range 1 + r.random.IntN(4) {
		longest := []float64{0.1, 0.6, 3}[r.random.IntN(3)]
		s.steps = append(s.steps, changeStep{
			undoneAfter: r.seconds(0.005, longest),
			nextAfter:   r.seconds(0.005, longest),
		})
	}
	return s
}

func (r *run) applyChanges(ctx context.Context, s changeSeries) {
	for _, step := range s.steps {
		r.changeConfig(s.kind.name, func(c *site.Config) { s.kind.apply(r, c, s.variant) })
		sleep(ctx, step.undoneAfter)
		r.changeConfig(s.kind.name+", undone", func(c *site.Config) { s.kind.undo(r, c, s.variant) })
		if !sleep(ctx, step.nextAfter) {
			return
		}
	}
}

// configsInForce returns the configurations that may have been in force at the process of a
// request until it ended: those of the whole run so far for a process that was not stable.
func (r *run) configsInForce(configs []writtenConfig, q *request) []writtenConfig {
	bound := configBound
	if q.storeRefused {
		bound += skewBound
	}
	var out []writtenConfig
	for i, c := range configs {
		if c.at.After(q.ended) {
			break
		}
		if q.stable && i+1 < len(configs) && configs[i+1].at.Add(bound).Before(q.sent) {
			continue
		}
		out = append(out, c)
	}
	return out
}

// routesInForce returns the forms of the route of a request in the configurations that may
// have been in force; missing reports whether one of these lacks it.
func (r *run) routesInForce(configs []writtenConfig, q *request) (routes []site.Route, missing bool) {
	for _, c := range r.configsInForce(configs, q) {
		route, ok := c.routes[q.route.Name]
		if !ok {
			missing = true
			continue
		}
		routes = append(routes, route)
	}
	return routes, missing
}

// allConfigs returns the configurations of the run, the first one included.
func (r *run) allConfigs() []writtenConfig {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]writtenConfig{newWrittenConfig(time.Time{}, r.base)}, r.record.configs...)
}

func newWrittenConfig(at time.Time, c site.Config) writtenConfig {
	w := writtenConfig{
		at:     at,
		config: c,
		routes: make(map[string]site.Route, len(c.Routes)),
	}
	for _, x := range c.Routes {
		w.routes[x.Name] = x
	}
	return w
}

// checkServices checks that requests run only at services to which a configuration that may
// be in force sends them.
func (r *run) checkServices(configs []writtenConfig, executions []site.Execution, requests map[string]*request) {
	for _, x := range executions {
		q := requests[x.Request]
		if q == nil {
			continue
		}
		routes, _ := r.routesInForce(configs, q)
		if !slices.ContainsFunc(routes, func(route site.Route) bool { return route.LeadsTo(x.Service) }) {
			r.reportViolation("ROUTE: %s (%s) at %.2f s ran at %s of %s, which no configuration that may be in force allows", q.id, q.route.Name,
				q.sent.Sub(r.began).Seconds(), x.Endpoint, x.Service)
		}
	}
}
