package spec

// Index looks up the items of a configuration by name. It points into the
// configuration, which must not be modified.
type Index struct {
	Config     *Config
	Domains    map[string]*Domain
	Services   map[string]*Service
	Endpoints  map[string]*Endpoint
	Models     map[string]*Model
	Adapters   map[string]*Adapter
	Workspaces map[string]*Workspace
	Keys       map[string]*Key
}

// Index builds the index. If items share a name, the first one is used.
func (c *Config) Index() *Index {
	return &Index{
		Config:     c,
		Domains:    byName(c.Domains, domainName),
		Services:   byName(c.Services, serviceName),
		Endpoints:  byName(c.Endpoints, endpointName),
		Models:     byName(c.Models, modelName),
		Adapters:   byName(c.Adapters, adapterName),
		Workspaces: byName(c.Workspaces, workspaceName),
		Keys:       byName(c.Keys, keyID),
	}
}

// EndpointsOf returns the endpoints of each service.
func (x *Index) EndpointsOf() map[string][]*Endpoint {
	return groupBy(x.Config.Endpoints, func(e *Endpoint) string { return e.Service })
}

// ModelsOf returns the models of each service.
func (x *Index) ModelsOf() map[string][]*Model {
	return groupBy(x.Config.Models, func(m *Model) string { return m.Service })
}

// AdaptersOf returns the adapters of each model.
func (x *Index) AdaptersOf() map[string][]*Adapter {
	return groupBy(x.Config.Adapters, func(a *Adapter) string { return a.Model })
}

func domainName(d *Domain) string       { return d.Name }
func serviceName(s *Service) string     { return s.Name }
func endpointName(e *Endpoint) string   { return e.Name }
func modelName(m *Model) string         { return m.Name }
func adapterName(a *Adapter) string     { return a.Name }
func workspaceName(w *Workspace) string { return w.Name }
func keyID(k *Key) string               { return k.ID }

func byName[T any](list []T, name func(*T) string) map[string]*T {
	out := make(map[string]*T, len(list))
	for i := range list {
		if _, dup := out[name(&list[i])]; !dup {
			out[name(&list[i])] = &list[i]
		}
	}
	return out
}

func groupBy[T any](list []T, group func(*T) string) map[string][]*T {
	out := make(map[string][]*T)
	for i := range list {
		out[group(&list[i])] = append(out[group(&list[i])], &list[i])
	}
	return out
}
