// Package local runs a small fleet in one process: stand-ins for the platform,
// the weight store, engines and plain services, and entry nodes, all connected
// over loopback. Development setups, tests and experiments use it.
package local

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"trefoildale.example/trefoildale/internal/conf"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/host"
	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/internal/fake/plain"
	"trefoildale.example/trefoildale/internal/fake/plat"
	"trefoildale.example/trefoildale/internal/fake/weight"
	"trefoildale.example/trefoildale/internal/node"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/internal/route"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Options are the settings of a fleet.
type Options struct {
	// Config is applied once the nodes run. Each of its endpoints gets a
	// stand-in, whose address replaces the configured one.
	Config *spec.Config
	// NodesPerDomain is the number of entry nodes in each domain of Config.
	NodesPerDomain int
	// Platform, Weights, Engine and Plain are the settings of the stand-ins.
	// Name, memory, fencing and weight store of an engine follow from Config,
	// and its speed is Engine.Speed times that of the endpoint.
	Platform plat.Options
	Weights  weight.Options
	Engine   model.Options
	Plain    plain.Options
	// PlatformURL maps the address of the stand-in to the URL at which nodes
	// reach the platform, for example that of a proxy that injects faults.
	PlatformURL func(address string) string
	// Policy and Picker replace the placement policy and the router's choice of
	// endpoints on all nodes; nil means the defaults.
	Policy func() place.Policy
	Picker func(*route.Table) route.Picker
	// Network, if set, can cut domains off from each other and from the
	// platform.
	Network *Network
	// Settings, if set, can change the settings of a node before it starts.
	Settings func(*conf.Settings)
	// CallersListen is the address on which the first node listens for callers,
	// AdminListen the one for operators. The default is a free port.
	CallersListen string
	AdminListen   string
}

// Fleet is a running fleet with its stand-ins.
type Fleet struct {
	Platform    *plat.Platform
	PlatformURL string
	Weights     *weight.Store
	Engines     map[string]*model.Engine
	Services    map[string]*plain.Service
	Nodes       []*node.Node
	Config      *spec.Config

	opts    Options
	closers []func()
	// stopNode has the function that stops a running node, by node name.
	stopNode map[string]func()
}

// startTimeout bounds the wait until the nodes are ready.
const startTimeout = 30 * time.Second

// Start starts a fleet and waits until all nodes are ready. The returned function
// stops it.
func Start(opts Options) (*Fleet, func(), error) {
	if opts.NodesPerDomain == 0 {
		opts.NodesPerDomain = 1
	}
	f := &Fleet{
		Engines:  make(map[string]*model.Engine),
		Services: make(map[string]*plain.Service),
		Config:   opts.Config,
		opts:     opts,
		stopNode: make(map[string]func()),
	}
	if err := f.start(); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func (f *Fleet) close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
	f.closers = nil
}

func (f *Fleet) onClose(stop func()) {
	f.closers = append(f.closers, stop)
}

func (f *Fleet) start() error {
	p, release := plat.New(f.opts.Platform)
	f.onClose(release)
	f.Platform = p
	address, err := f.serve(p.Handler())
	if err != nil {
		return err
	}
	f.PlatformURL = "http://" + address
	if f.opts.PlatformURL != nil {
		f.PlatformURL = f.opts.PlatformURL(address)
	}
	if f.opts.Network != nil {
		f.opts.Network.setSite(address, PlatformSite)
	}
	w, release := weight.New(f.opts.Weights)
	f.onClose(release)
	f.Weights = w
	weightsAddress, err := f.serve(w.Handler())
	if err != nil {
		return err
	}
	for i := range f.Config.Endpoints {
		if err := f.startEndpoint(&f.Config.Endpoints[i], "http://"+weightsAddress); err != nil {
			return err
		}
	}
	for _, d := range f.Config.Domains {
		for i := range f.opts.NodesPerDomain {
			if _, err := f.AddNode(fmt.Sprintf("%s-%d", d.Name, i+1), d.Name); err != nil {
				return err
			}
		}
	}
	return f.configure()
}

// serve serves a stand-in's handler on a free port.
func (f *Fleet) serve(h http.Handler) (address string, err error) {
	address, stop, err := host.Serve(h)
	if err == nil {
		f.onClose(stop)
	}
	return address, err
}

// startEndpoint starts the stand-in of an endpoint, an engine or a plain service,
// and sets the endpoint's address.
func (f *Fleet) startEndpoint(e *spec.Endpoint, weights string) error {
	kind := spec.KindModel
	for _, s := range f.Config.Services {
		if s.Name == e.Service {
			kind = s.Kind
		}
	}
	var h http.Handler
	if kind == spec.KindModel {
		opts := f.opts.Engine
		opts.Name = e.Name
		opts.MemoryMiB = e.MemoryMiB
		opts.Fencing = e.Fencing
		opts.Weights = weights
		if opts.Speed == 0 {
			opts.Speed = 1000
		}
		if e.Speed > 0 {
			opts.Speed *= e.Speed
		}
		m, release := model.New(opts)
		f.onClose(release)
		f.Engines[e.Name] = m
		h = m.Handler()
	} else {
		opts := f.opts.Plain
		opts.Name = e.Name
		s, release := plain.New(opts)
		f.onClose(release)
		f.Services[e.Name] = s
		h = s.Handler()
	}
	address, err := f.serve(h)
	e.Address = address
	if f.opts.Network != nil {
		f.opts.Network.setSite(address, e.Domain)
	}
	return err
}

// AddNode starts another entry node and adds its VM to the platform's table.
func (f *Fleet) AddNode(name, domain string) (*node.Node, error) {
	settings := &conf.Settings{
		Node: conf.Node{
			Name:   name,
			Domain: domain,
		},
		Listen: conf.Listen{
			Callers: "127.0.0.1:0",
			Peers:   "127.0.0.1:0",
			Admin:   "127.0.0.1:0",
		},
		Platform: conf.Platform{
			URL:     f.PlatformURL,
			Timeout: conf.DefaultPlatformTimeout,
		},
		Limits: conf.Limits{
			MaxBodyBytes:   conf.DefaultMaxBodyBytes,
			MaxHeaderBytes: conf.DefaultMaxHeaderBytes,
			StreamIdle:     conf.DefaultStreamIdle,
		},
	}
	if len(f.Nodes) == 0 {
		if f.opts.CallersListen != "" {
			settings.Listen.Callers = f.opts.CallersListen
		}
		if f.opts.AdminListen != "" {
			settings.Listen.Admin = f.opts.AdminListen
		}
	}
	opts := node.Options{
		Settings: settings,
		Picker:   f.opts.Picker,
	}
	if f.opts.Policy != nil {
		opts.Policy = f.opts.Policy()
	}
	if f.opts.Settings != nil {
		f.opts.Settings(settings)
	}
	if f.opts.Network != nil {
		opts.Dial = f.opts.Network.dialer(domain)
	}
	n, stop, err := node.New(opts)
	if err != nil {
		return nil, err
	}
	if f.opts.Network != nil {
		f.opts.Network.setSite(n.PeersAddr, domain)
	}
	f.onClose(stop)
	f.stopNode[name] = stop
	f.Nodes = append(f.Nodes, n)
	f.Platform.PutVM(store.VM{
		Name:    name,
		Address: n.PeersAddr,
		Domain:  domain,
	})
	return n, nil
}

// KillNode stops an entry node without a drain, as the loss of its VM does. The
// node remains in Nodes.
func (f *Fleet) KillNode(name string) error {
	kill := f.stopNode[name]
	if kill == nil {
		return fmt.Errorf("kill node: no running node %q", name)
	}
	delete(f.stopNode, name)
	kill()
	f.Platform.DeleteVM(name)
	return nil
}

// Admin returns a client for the admin API of node i.
func (f *Fleet) Admin(i int) (*admin.Client, error) {
	return admin.New(f.Nodes[i].AdminAddr, nil)
}

// configure applies the configuration and waits until all nodes are ready.
func (f *Fleet) configure() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	client, err := f.Admin(0)
	if err != nil {
		return err
	}
	for {
		err = f.apply(ctx, client)
		var unavailable *admin.UnavailableError
		if !errors.As(err, &unavailable) || ctx.Err() != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	for _, n := range f.Nodes {
		for !n.Ready() {
			if ctx.Err() != nil {
				return fmt.Errorf("node at %s is not ready: %w", n.CallersAddr, ctx.Err())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// apply sends the difference between the configuration and the one in force, if
// there is any.
func (f *Fleet) apply(ctx context.Context, client *admin.Client) error {
	d, err := client.Diff(ctx, f.Config)
	if err != nil {
		return err
	}
	if err := d.Findings.Err(); err != nil {
		return err
	}
	if d.Change.Empty() {
		return nil
	}
	d.Change.Author = "local"
	d.Change.OpID = spec.NewOpID(d.Change.Base)
	_, err = client.Apply(ctx, d.Change)
	return err
}

// AddKey adds a key for a workspace and returns its secret.
func (f *Fleet) AddKey(ctx context.Context, id, workspace string) (string, error) {
	client, err := f.Admin(0)
	if err != nil {
		return "", err
	}
	k, err := client.AddKey(ctx, admin.KeyRequest{
		Author:    "local",
		ID:        id,
		Workspace: workspace,
	})
	if err != nil {
		return "", err
	}
	return k.Secret, nil
}

// WaitResident waits until each of the models is resident in at least one engine.
func (f *Fleet) WaitResident(ctx context.Context, models ...string) error {
	client, release := engine.NewClient(engine.Options{})
	defer release()
	for _, name := range models {
		for !f.resident(ctx, client, name) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("model %s did not become resident: %w", name, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (f *Fleet) resident(ctx context.Context, client *engine.Client, name string) bool {
	for _, e := range f.Config.Endpoints {
		if f.Engines[e.Name] == nil {
			continue
		}
		st, err := client.State(ctx, e.Address)
		if err != nil {
			continue
		}
		for _, r := range st.Resident {
			if r.Model == name {
				return true
			}
		}
	}
	return false
}
