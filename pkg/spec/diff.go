package spec

import "reflect"

// Diff returns the change that turns old into next. The caller sets the
// operation id and the author; the base is the revision of old. If the list of
// keys of next is nil, the keys stay as they are: keys are added and withdrawn
// one by one, and applying a file without keys must not withdraw all of them.
func Diff(old, next *Config) Change {
	c := Change{Base: old.Revision}
	compare(&c, KindOfDomain, old.Domains, next.Domains, domainName, func(v *Domain) Item { return Item{Domain: v} })
	compare(&c, KindOfService, old.Services, next.Services, serviceName, func(v *Service) Item { return Item{Service: v} })
	compare(&c, KindOfEndpoint, old.Endpoints, next.Endpoints, endpointName, func(v *Endpoint) Item { return Item{Endpoint: v} })
	compare(&c, KindOfModel, old.Models, next.Models, modelName, func(v *Model) Item { return Item{Model: v} })
	compare(&c, KindOfAdapter, old.Adapters, next.Adapters, adapterName, func(v *Adapter) Item { return Item{Adapter: v} })
	compare(&c, KindOfWorkspace, old.Workspaces, next.Workspaces, workspaceName, func(v *Workspace) Item { return Item{Workspace: v} })
	if next.Keys == nil {
		next = &Config{Keys: old.Keys, Limits: next.Limits}
	}
	compare(&c, KindOfKey, old.Keys, next.Keys, keyID, func(v *Key) Item { return Item{Key: v} })
	a, b := old.Limits, next.Limits
	a.setDefaults()
	b.setDefaults()
	if a != b {
		c.Puts = append(c.Puts, Item{Limits: &b})
	}
	return c
}

func compare[T any](c *Change, kind Kind, old, next []T, name func(*T) string, item func(*T) Item) {
	oldByName := byName(old, name)
	for i := range next {
		v := next[i]
		n := name(&v)
		existing, ok := oldByName[n]
		delete(oldByName, n)
		if ok && equal(*existing, v) {
			continue
		}
		c.Puts = append(c.Puts, item(&v))
	}
	for i := range old {
		if n := name(&old[i]); oldByName[n] != nil {
			c.Deletes = append(c.Deletes, Ref{Kind: kind, Name: n})
		}
	}
}

func equal[T any](a, b T) bool {
	if f, ok := any(&a).(defaulter); ok {
		f.setDefaults()
		any(&b).(defaulter).setDefaults()
	}
	if s, ok := any(&a).(*Service); ok {
		// An empty list and an absent one are equivalent.
		t := any(&b).(*Service)
		if len(s.Methods) == 0 && len(t.Methods) == 0 {
			s.Methods, t.Methods = nil, nil
		}
	}
	return reflect.DeepEqual(a, b)
}
