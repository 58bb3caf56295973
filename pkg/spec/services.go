package spec

import (
	"regexp"
	"slices"
	"strings"
)

// reservedPrefixes are the paths that the entry process serves itself. No service may
// use them.
var reservedPrefixes = []string{"/v1/", "/healthz/", "/readyz/", "/debug/"}

var (
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
	// prefixPattern excludes "/", which would cover the entry process's own paths.
	prefixPattern = regexp.MustCompile(`^/([A-Za-z0-9._~-]+/)+$`)
)

func (k *checker) services() {
	seen := make(map[string]bool, len(k.c.Services))
	type prefix struct {
		path, owner string
		s           scope
	}
	var prefixes []prefix
	for _, p := range reservedPrefixes {
		prefixes = append(prefixes, prefix{path: p, owner: "the entry process"})
	}
	for i, v := range k.c.Services {
		s := k.scope("services", i, KindOfService, v.Name)
		s.name("name", v.Name)
		unique(s, "name", seen, v.Name)
		switch v.Kind {
		case KindModel:
			if v.Prefix != "" {
				s.add("prefix", "is only for plain services; model services answer under /v1/")
			}
			if v.Open {
				// Tokens are charged to the workspace of the request's key.
				s.add("open", "is only for plain services")
			}
			if len(v.Methods) > 0 {
				s.add("methods", "is only for plain services")
			}
		case KindPlain:
			if !prefixPattern.MatchString(v.Prefix) {
				s.add("prefix", "%q is not a path that begins and ends with a slash", v.Prefix)
			} else {
				prefixes = append(prefixes, prefix{path: v.Prefix, owner: "service " + v.Name, s: s})
			}
			if len(v.Methods) == 0 {
				s.add("methods", "is empty; every call would be refused")
			}
			checkMethods(s, v.Methods)
		default:
			s.add("kind", "%q is neither model nor plain", string(v.Kind))
		}
	}
	// In sorted order, a prefix comes directly before the prefixes that it covers.
	slices.SortStableFunc(prefixes, func(a, b prefix) int { return strings.Compare(a.path, b.path) })
	for i := 1; i < len(prefixes); i++ {
		a, b := prefixes[i-1], prefixes[i]
		if !strings.HasPrefix(b.path, a.path) {
			continue
		}
		b.s.add("prefix", "%q overlaps %q of %s", b.path, a.path, a.owner)
		if len(a.path) < len(b.path) {
			// The shorter prefix may cover the following ones too.
			prefixes[i].path = a.path
			prefixes[i].owner = a.owner
		}
	}
}

func checkMethods(s scope, methods []Method) {
	seen := make(map[[2]string]bool, len(methods))
	for j, m := range methods {
		at := s
		at.sub = ".methods[" + itoa(j) + "]"
		if !methodPattern.MatchString(m.Method) {
			at.add("method", "%q is not an HTTP method", m.Method)
		}
		if star := strings.IndexByte(m.Path, '*'); star >= 0 && star != len(m.Path)-1 {
			at.add("path", "%q has a * that is not its last character", m.Path)
		}
		if strings.HasPrefix(m.Path, "/") {
			at.add("path", "%q begins with a slash; paths are relative to the prefix", m.Path)
		}
		if strings.ContainsAny(m.Path, " ?#") || slices.Contains(strings.Split(m.Path, "/"), "..") {
			at.add("path", "%q is not a plain path", m.Path)
		}
		id := [2]string{m.Method, m.Path}
		if seen[id] {
			at.add("", "%s %s is given twice", m.Method, m.Path)
		}
		seen[id] = true
	}
}
