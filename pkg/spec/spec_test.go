package spec

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes CI results reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260104"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const validFile = `
domains: [{name: d1, region: north}, {name: d2, region: north}]
services:
  - {name: chat, kind: model}
  - name: booking
    kind: plain
    prefix: /booking/
    methods:
      - {method: POST, path: charges, repeatable: false}
      - {method: GET, path: lanes/*, repeatable: true}
endpoints:
  - {name: e1, service: chat, domain: d1, address: "10.0.0.1:9000", memory-mib: 81920}
  - {name: b1, service: booking, domain: d2, address: "10.0.0.2:9000"}
models:
  - {name: llama-3.1-8b, service: chat, version: 1.10, memory-mib: 16384, max-context-tokens: 8192, on-demand: 45s}
adapters: [{name: lane-rules, model: llama-3.1-8b, memory-mib: 64}]
workspaces: [{name: desk, rate-tokens-per-second: 500, burst-tokens: 20000, class: interactive}]
keys: [{id: desk-1, workspace: desk, digest: "sha256:` + digestHex + `"}]
limits: {min-share-tokens: 2048}
`

const digestHex = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

// Guards against defaults and values that are lost in a round trip from a file to
// the API and back.
func TestDecodeEncode(t *testing.T) {
	c, findings := Decode("fleet.yaml", []byte(validFile))
	if findings != nil {
		t.Fatal(findings)
	}
	if c.Models[0].Version != "1.10" || time.Duration(c.Models[0].OnDemand) != 45*time.Second {
		t.Errorf("model: %+v", c.Models[0])
	}
	if c.Limits.SlotTerm != DefaultSlotTerm || c.Workspaces[0].Weight != 1 || c.Endpoints[1].Speed != 1 {
		t.Errorf("defaults are missing: %+v", c)
	}
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, findings := Decode("again.yaml", data)
	if findings != nil || !reflect.DeepEqual(c, again) {
		t.Errorf("decoded again: %v\n%s", findings, data)
	}
}

// Guards against findings that are reported one at a time, without a position, or
// not at all.
func TestFindings(t *testing.T) {
	for _, test := range []struct {
		name     string
		old, new string
		want     []string
	}{
		{
			name: "unknown and repeated fields, wrong type",
			old:  "limits: {min-share-tokens: 2048}",
			new:  "limits: {min_share_tokens: 1, slot-term: soon, slot-term: 1s, weight-loads-parallel: many}\nlimitz: 1",
			want: []string{
				`f:19:10: limits: unknown field "min_share_tokens", did you mean min-share-tokens?`,
				`f:19:42: limits.slot-term: time: invalid duration "soon"`,
				`f:19:48: limits: field "slot-term" is given twice`,
				`f:19:86: limits.weight-loads-parallel: want a whole number, got "many"`,
				`f:20:1: unknown field "limitz"`,
			},
		},
		{
			name: "several rules at once",
			old:  "rate-tokens-per-second: 500, burst-tokens: 20000, class: interactive}]",
			new:  "rate-tokens-per-second: -1, burst-tokens: .nan, class: urgent}, {name: desk, rate-tokens-per-second: .inf, burst-tokens: 1}]",
			want: []string{
				`f:17:51: workspace desk: rate-tokens-per-second: is below zero`,
				`f:17:69: workspaces[0].burst-tokens: want a whole number, got ".nan"`,
				`f:17:82: workspace desk: class: "urgent" is none of interactive, normal and deferrable`,
				`f:17:98: workspace desk: name: "desk" is given twice`,
				`f:17:128: workspace desk: rate-tokens-per-second: is not a finite number`,
			},
		},
		{
			name: "model that fits nowhere, and its adapter",
			old:  "memory-mib: 81920}",
			new:  "memory-mib: 16400}",
			want: []string{`f:16:64: adapter lane-rules: memory-mib: 64 MiB does not fit on any endpoint of service "chat" next to the 16384 MiB of model llama-3.1-8b; its largest endpoint has 16400 MiB`},
		},
		{
			name: "service without endpoint",
			old:  "{name: e1, service: chat,",
			new:  "{name: e1, service: booking,",
			want: []string{`f:15:35: model llama-3.1-8b: service: service "chat" has no endpoint, so the model could not be served`},
		},
		{
			name: "dangling references",
			old:  "domain: d2, address",
			new:  "domain: d3, address",
			want: []string{`f:13:42: endpoint b1: domain: no domain "d3"`},
		},
		{
			name: "port out of range",
			old:  `"10.0.0.1:9000", memory-mib: 81920`,
			new:  `"10.0.0.1:99999", memory-mib: 81920`,
			want: []string{`f:12:52: endpoint e1: address: "10.0.0.1:99999" is not host:port`},
		},
		{
			name: "overlapping prefixes",
			old:  "  - {name: chat, kind: model}",
			new:  "  - {name: chat, kind: model}\n  - {name: p, kind: plain, prefix: /booking/inner/, methods: [{method: GET, path: a*b}]}\n  - {name: q, kind: plain, prefix: /v1/q/, methods: [{method: GET, path: x, repeatable: true}]}",
			want: []string{
				`f:5:36: service p: prefix: "/booking/inner/" overlaps "/booking/" of service booking`,
				`f:5:83: service p: methods[0].path: "a*b" has a * that is not its last character`,
				`f:6:36: service q: prefix: "/v1/q/" overlaps "/v1/" of the entry process`,
			},
		},
		{
			name: "secret in place of a digest is not repeated",
			old:  "sha256:" + digestHex,
			new:  "tfd-very-secret",
			want: []string{`f:18:46: key desk-1: digest: is not "sha256:" and 64 hexadecimal digits`},
		},
		{
			name: "alias",
			old:  "region: north}, {name: d2, region: north}",
			new:  "region: &r north}, {name: d2, region: *r}",
			want: []string{`f:2:60: domains[1].region: aliases are not supported`},
		},
		{
			name: "syntax",
			old:  "models:",
			new:  "models: ]",
			want: []string{`f:14:1: did not find expected node content`},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(validFile, test.old) {
				t.Fatalf("the valid file does not contain %q", test.old)
			}
			c, findings := Decode("f", []byte(strings.Replace(validFile, test.old, test.new, 1)))
			if c != nil {
				t.Error("accepted")
			}
			if got, want := findings.Error(), strings.Join(test.want, "\n"); got != want {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// Guards against input that crashes a node, and against an accepted file that is
// rejected after it was decoded and encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("limits: {slot-term: 9223372036854775807ns}\n---\n"))
	f.Add([]byte("models: [[[[[["))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, findings := Decode("f", data)
		if (c == nil) == (findings == nil) {
			t.Fatalf("configuration %v with findings %v", c, findings)
		}
		for _, one := range findings {
			if one.Line < 1 || one.Column < 1 || one.Text == "" {
				t.Fatalf("finding without a position: %+v", one)
			}
		}
		if c == nil {
			return
		}
		encoded, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, findings := Decode("f", encoded)
		if findings != nil {
			t.Fatalf("rejected after encoding: %v\n%s", findings, encoded)
		}
		if d := Diff(c, again); !d.Empty() {
			t.Fatalf("changed by encoding: %+v", d)
		}
	})
}

// fleet returns a valid configuration with the given numbers of items.
func fleet(domains, endpoints, models, workspaces int) *Config {
	c := New()
	for i := range domains {
		c.Domains = append(c.Domains, Domain{Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i%8)})
	}
	c.Services = []Service{{Name: "chat", Kind: KindModel}}
	for i := range endpoints {
		c.Endpoints = append(c.Endpoints, Endpoint{
			Name:      fmt.Sprintf("endpoint-%04d", i),
			Service:   "chat",
			Domain:    c.Domains[i%domains].Name,
			Address:   fmt.Sprintf("10.%d.%d.1:9000", i/250, i%250),
			MemoryMiB: 81920,
		})
	}
	for i := range models {
		c.Models = append(c.Models, Model{Name: fmt.Sprintf("model-%04d", i), Service: "chat", Version: "1", MemoryMiB: 16384, MaxContextTokens: 8192})
	}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%03d", i)
		c.Workspaces = append(c.Workspaces, Workspace{Name: name, RateTokensPerSecond: 500, BurstTokens: 20000})
		for k := range 2 {
			id := fmt.Sprintf("%s-key-%d", name, k)
			c.Keys = append(c.Keys, Key{ID: id, Workspace: name, Digest: Digest(id)})
		}
	}
	c.setDefaults()
	return c
}

// Guards against a change that is lost, applied twice or applied to the wrong
// item, and against a change that modifies the configuration it starts from.
func TestDiffApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) *Config {
			c := fleet(2, 2, 0, 0)
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, label) {
				if !rapid.Bool().Draw(t, "present") {
					continue
				}
				n := rapid.Int64Range(1, 3).Draw(t, "value")
				c.Models = append(c.Models, Model{Name: fmt.Sprintf("m%d", i), Service: "chat", Version: "1", MemoryMiB: n, MaxContextTokens: 1})
				c.Workspaces = append(c.Workspaces, Workspace{Name: fmt.Sprintf("w%d", i), RateTokensPerSecond: float64(n), BurstTokens: n})
				c.Keys = append(c.Keys, Key{ID: fmt.Sprintf("k%d", i), Workspace: fmt.Sprintf("w%d", i), Digest: Digest(fmt.Sprint(i, n))})
			}
			c.Limits.MinShareTokens = rapid.Int64Range(1, 2).Draw(t, "limits")
			c.setDefaults()
			return c
		}
		a, b := draw("a"), draw("b")
		if b.Keys == nil {
			b.Keys = []Key{}
		}
		a.Revision = 7
		before, _ := a.Encode()
		change := Diff(a, b)
		if change.Empty() {
			return
		}
		change.OpID, change.Author = NewOpID(7), "t"
		got, findings := a.Apply(change)
		if findings != nil {
			t.Fatal(findings)
		}
		if rest := Diff(got, b); !rest.Empty() || got.Revision != 8 {
			t.Fatalf("revision %d, still different: %+v", got.Revision, rest)
		}
		if after, _ := a.Encode(); string(before) != string(after) {
			t.Fatal("the change modified the configuration that it started from")
		}
	})
}

// Guards against withdrawing all keys when a file without keys is applied.
func TestDiffKeepsKeys(t *testing.T) {
	a := fleet(1, 1, 1, 1)
	b := fleet(1, 1, 1, 1)
	b.Keys = nil
	if d := Diff(a, b); !d.Empty() {
		t.Errorf("%+v", d)
	}
	b.Keys = []Key{}
	if d := Diff(a, b); len(d.Deletes) != len(a.Keys) {
		t.Errorf("%+v", d)
	}
}

// Guards against a partially applied change and against a refusal that lists only
// some of its reasons.
func TestApplyRefuses(t *testing.T) {
	c := fleet(1, 1, 1, 1)
	next, findings := c.Apply(Change{
		OpID:   "0-a",
		Author: "t",
		Puts: []Item{
			{Workspace: &Workspace{Name: "workspace-000", RateTokensPerSecond: -1, BurstTokens: 1}},
			{Model: &Model{Name: "huge", Service: "chat", Version: "1", MemoryMiB: 1 << 30, MaxContextTokens: 1}},
		},
		Deletes: []Ref{{Kind: KindOfDomain, Name: "domain-0"}, {Kind: KindOfAdapter, Name: "none"}},
	})
	if next != nil || len(findings) != 4 {
		t.Errorf("%v\n%v", next, findings)
	}
	for _, bad := range []Change{
		{OpID: "0-a", Author: "t"},
		{OpID: "0-a", Author: "t", Base: 1, Deletes: []Ref{{Kind: KindOfDomain, Name: "domain-0"}}},
		{OpID: "0-a", Author: "t", Puts: []Item{{}}},
		{OpID: "0-a", Author: "t", Deletes: []Ref{{Kind: KindOfLimits}}},
		{OpID: "0-a", Author: "t", Puts: []Item{{Limits: &Limits{}}, {Limits: &Limits{}}}},
	} {
		if bad.Check() == nil {
			t.Errorf("accepted: %+v", bad)
		}
	}
}

func BenchmarkApplyOne(b *testing.B) {
	c := fleet(30, 2600, 1900, 500)
	m := c.Models[950]
	m.MemoryMiB++
	change := Change{OpID: "0-a", Author: "t", Puts: []Item{{Model: &m}}}
	b.Run("checked", func(b *testing.B) {
		for b.Loop() {
			if _, findings := c.Apply(change); findings != nil {
				b.Fatal(findings)
			}
		}
	})
	b.Run("replay", func(b *testing.B) {
		for b.Loop() {
			c.Replay(change)
		}
	})
}

func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := fleet(30, 2600, 1900, 500)
	x := c.Index()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB")
	data, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data))/1024, "KiB-YAML")
	runtime.KeepAlive(x)
}
