package spec

// Apply returns the configuration that results from the change, with the next
// revision number. An invalid change is refused as a whole, with all findings.
// The receiver is not modified; unchanged sections are shared with the result.
func (c *Config) Apply(ch Change) (*Config, Findings) {
	findings := ch.Check()
	if len(findings) > 0 {
		return nil, findings
	}
	next, missing := c.patch(&ch)
	for _, r := range missing {
		findings = append(findings, Finding{Item: r.String(), Text: "cannot be deleted, it does not exist"})
	}
	findings = append(findings, next.Check()...)
	if len(findings) > 0 {
		return nil, findings
	}
	return next, nil
}

// Replay applies a change that was already accepted. The change is not checked
// again, so every node reaches the same configuration even if its own version
// would refuse the change.
func (c *Config) Replay(ch Change) *Config {
	next, _ := c.patch(&ch)
	return next
}

func (c *Config) patch(ch *Change) (*Config, []Ref) {
	next := *c
	next.Revision++
	e := edits{puts: map[Kind][]Item{}, deletes: map[Kind]map[string]bool{}}
	for _, p := range ch.Puts {
		if r, ok := p.Ref(); ok {
			e.puts[r.Kind] = append(e.puts[r.Kind], p)
		}
	}
	for _, r := range ch.Deletes {
		if e.deletes[r.Kind] == nil {
			e.deletes[r.Kind] = map[string]bool{}
		}
		e.deletes[r.Kind][r.Name] = true
	}
	next.Domains = merge(&e, KindOfDomain, c.Domains, domainName, func(i Item) *Domain { return i.Domain })
	next.Services = merge(&e, KindOfService, c.Services, serviceName, func(i Item) *Service { return i.Service })
	next.Endpoints = merge(&e, KindOfEndpoint, c.Endpoints, endpointName, func(i Item) *Endpoint { return i.Endpoint })
	next.Models = merge(&e, KindOfModel, c.Models, modelName, func(i Item) *Model { return i.Model })
	next.Adapters = merge(&e, KindOfAdapter, c.Adapters, adapterName, func(i Item) *Adapter { return i.Adapter })
	next.Workspaces = merge(&e, KindOfWorkspace, c.Workspaces, workspaceName, func(i Item) *Workspace { return i.Workspace })
	next.Keys = merge(&e, KindOfKey, c.Keys, keyID, func(i Item) *Key { return i.Key })
	for _, p := range e.puts[KindOfLimits] {
		next.Limits = *p.Limits
	}
	next.Limits.setDefaults()
	var missing []Ref
	for _, r := range ch.Deletes {
		if e.deletes[r.Kind][r.Name] {
			missing = append(missing, r)
		}
	}
	return &next, missing
}

// edits holds the puts and deletes of a change by kind. The value of a delete
// is true until the item has been deleted.
type edits struct {
	puts    map[Kind][]Item
	deletes map[Kind]map[string]bool
}

type defaulter interface{ setDefaults() }

// merge applies the edits of one kind to a list. Existing items keep their order
// and new ones are appended, so every node derives the same list from the same
// log.
func merge[T any](e *edits, kind Kind, list []T, name func(*T) string, value func(Item) *T) []T {
	puts, deletes := e.puts[kind], e.deletes[kind]
	if len(puts) == 0 && len(deletes) == 0 {
		return list
	}
	remaining := make(map[string]*T, len(puts))
	for _, p := range puts {
		remaining[name(value(p))] = value(p)
	}
	out := make([]T, 0, len(list)+len(puts))
	for i := range list {
		n := name(&list[i])
		if _, ok := deletes[n]; ok {
			deletes[n] = false
			continue
		}
		if v, ok := remaining[n]; ok {
			out = append(out, *v)
			delete(remaining, n)
			continue
		}
		out = append(out, list[i])
	}
	for _, p := range puts {
		if v := value(p); remaining[name(v)] == v {
			out = append(out, *v)
		}
	}
	if _, ok := any(new(T)).(defaulter); ok {
		for i := range out {
			any(&out[i]).(defaulter).setDefaults()
		}
	}
	return out
}
