package spec

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
)

// Kind is the kind of a configuration item.
type Kind string

// The kinds of configuration items. There is exactly one item of kind limits,
// and its name is empty.
const (
	KindOfDomain    Kind = "domain"
	KindOfService   Kind = "service"
	KindOfEndpoint  Kind = "endpoint"
	KindOfModel     Kind = "model"
	KindOfAdapter   Kind = "adapter"
	KindOfWorkspace Kind = "workspace"
	KindOfKey       Kind = "key"
	KindOfLimits    Kind = "limits"
)

// Ref identifies a configuration item by kind and name.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String implements fmt.Stringer.
func (r Ref) String() string { return strings.TrimSpace(string(r.Kind) + " " + r.Name) }

// Item is one item with its value; exactly one field is set.
type Item struct {
	Domain    *Domain    `json:"domain,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	Endpoint  *Endpoint  `json:"endpoint,omitempty"`
	Model     *Model     `json:"model,omitempty"`
	Adapter   *Adapter   `json:"adapter,omitempty"`
	Workspace *Workspace `json:"workspace,omitempty"`
	Key       *Key       `json:"key,omitempty"`
	Limits    *Limits    `json:"limits,omitempty"`
}

// Ref returns the reference to the item, and false unless exactly one field is set.
func (i Item) Ref() (Ref, bool) {
	var r Ref
	n := 0
	set := func(k Kind, name string) {
		r = Ref{Kind: k, Name: name}
		n++
	}
	if i.Domain != nil {
		set(KindOfDomain, i.Domain.Name)
	}
	if i.Service != nil {
		set(KindOfService, i.Service.Name)
	}
	if i.Endpoint != nil {
		set(KindOfEndpoint, i.Endpoint.Name)
	}
	if i.Model != nil {
		set(KindOfModel, i.Model.Name)
	}
	if i.Adapter != nil {
		set(KindOfAdapter, i.Adapter.Name)
	}
	if i.Workspace != nil {
		set(KindOfWorkspace, i.Workspace.Name)
	}
	if i.Key != nil {
		set(KindOfKey, i.Key.ID)
	}
	if i.Limits != nil {
		set(KindOfLimits, "")
	}
	return r, n == 1
}

// Change is a set of puts and deletes of items that takes effect atomically, in
// one revision.
type Change struct {
	// OpID identifies the operation. It begins with the base revision, so that
	// every attempt looks for an earlier one in the same part of the log.
	OpID   string `json:"op-id"`
	Author string `json:"author"`
	// Base is the revision that the change was made against.
	Base    int64  `json:"base"`
	Puts    []Item `json:"puts,omitempty"`
	Deletes []Ref  `json:"deletes,omitempty"`
}

// NewOpID returns a new operation id for a change based on revision base.
func NewOpID(base int64) string {
	return strconv.FormatInt(base, 10) + "-" + strings.ToLower(rand.Text())
}

// BaseOf returns the base revision contained in an operation id.
func BaseOf(opID string) (int64, error) {
	revision, rest, ok := strings.Cut(opID, "-")
	base, err := strconv.ParseInt(revision, 10, 64)
	if !ok || err != nil || base < 0 || rest == "" || len(opID) > maxName || strconv.FormatInt(base, 10) != revision {
		return 0, fmt.Errorf("%q is not an operation id (base revision, hyphen, unique text)", opID)
	}
	return base, nil
}

// Empty reports whether the change puts and deletes nothing.
func (c *Change) Empty() bool { return len(c.Puts) == 0 && len(c.Deletes) == 0 }

// Refs returns the items that the change puts or deletes.
func (c *Change) Refs() []Ref {
	out := make([]Ref, 0, len(c.Puts)+len(c.Deletes))
	for _, p := range c.Puts {
		if r, ok := p.Ref(); ok {
			out = append(out, r)
		}
	}
	return append(out, c.Deletes...)
}

// Touches reports whether both changes put or delete the same item.
func (c *Change) Touches(other *Change) bool {
	a, b := c.Refs(), other.Refs()
	if len(a) > len(b) {
		a, b = b, a
	}
	refs := make(map[Ref]bool, len(a))
	for _, r := range a {
		refs[r] = true
	}
	for _, r := range b {
		if refs[r] {
			return true
		}
	}
	return false
}

// Check validates the change without comparing it with a configuration.
func (c *Change) Check() Findings {
	var f Findings
	add := func(path, item, format string, args ...any) {
		f = append(f, Finding{Path: path, Item: item, Text: fmt.Sprintf(format, args...)})
	}
	if base, err := BaseOf(c.OpID); err != nil {
		add("op-id", "", "%v", err)
	} else if base != c.Base {
		add("op-id", "", "%q does not begin with the base revision %d", c.OpID, c.Base)
	}
	if c.Author == "" {
		add("author", "", "is missing")
	}
	if c.Empty() {
		add("", "", "the change is empty")
	}
	seen := make(map[Ref]bool, len(c.Puts)+len(c.Deletes))
	for i, p := range c.Puts {
		r, ok := p.Ref()
		switch path := "puts[" + itoa(i) + "]"; {
		case !ok:
			add(path, "", "must hold exactly one item")
		case seen[r]:
			add(path, r.String(), "is given twice in the change")
		}
		seen[r] = true
	}
	for i, r := range c.Deletes {
		switch path := "deletes[" + itoa(i) + "]"; {
		case r.Kind == KindOfLimits || !r.Kind.valid():
			add(path, r.String(), "cannot be deleted")
		case seen[r]:
			add(path, r.String(), "is given twice in the change")
		}
		seen[r] = true
	}
	return f
}

func (k Kind) valid() bool {
	switch k {
	case KindOfDomain, KindOfService, KindOfEndpoint, KindOfModel, KindOfAdapter, KindOfWorkspace, KindOfKey, KindOfLimits:
		return true
	}
	return false
}
