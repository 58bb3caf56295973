package cmds

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/internal/oper"
	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

// fakeNode is a fake of the node behind the admin API.
type fakeNode struct {
	config *spec.Config
	done   map[string]int64
	// fail holds the errors of the next calls of Append. A change that fails with
	// *feed.OutcomeUnknown is applied nevertheless.
	fail []error
}

func (f *fakeNode) Config() *spec.Config { return f.config }

func (f *fakeNode) Append(_ context.Context, c spec.Change) (feed.Appended, error) {
	var fail error
	if len(f.fail) > 0 {
		fail, f.fail = f.fail[0], f.fail[1:]
	}
	var unknown *feed.OutcomeUnknown
	if fail != nil && !errors.As(fail, &unknown) {
		return feed.Appended{}, fail
	}
	if n := f.done[c.OpID]; n != 0 {
		return feed.Appended{Revision: n, Duplicate: true}, fail
	}
	next, findings := f.config.Apply(c)
	if findings != nil {
		return feed.Appended{}, &feed.InvalidChange{Findings: findings}
	}
	f.config, f.done[c.OpID] = next, next.Revision
	return feed.Appended{Revision: next.Revision, Unreplicated: true}, fail
}

func (f *fakeNode) Status(context.Context) (admin.Status, error) {
	return admin.Status{Node: "n1", Domain: "d1", Ready: true, Revision: f.config.Revision, ViewAge: spec.Duration(time.Second), Confirmed: 1}, nil
}

func (f *fakeNode) Explain(_ context.Context, q admin.Query) ([]string, error) {
	return []string{"Workspace " + q.Workspace + " was within its rate."}, nil
}

const validConfig = `domains: [{name: d1, region: r}]
services: [{name: chat, kind: model}]
endpoints: [{name: e1, service: chat, domain: d1, address: "10.0.0.1:9", memory-mib: 100}]
models: [{name: m1, service: chat, version: "1", memory-mib: 90, max-context-tokens: 100}]
workspaces: [{name: desk, rate-tokens-per-second: 5, burst-tokens: 10}]
`

// Guards against wrong exit codes and messages of trefoil. The steps run one after
// the other against the same node.
func TestTrefoil(t *testing.T) {
	f := &fakeNode{config: spec.New(), done: map[string]int64{}}
	server := httptest.NewServer(oper.NewHandler(f, f, f, f))
	defer server.Close()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"good": validConfig,
		"bad":  validConfig + "limits: {min-share-tokens: -1, slot: 1}\n",
		"huge": strings.Replace(validConfig, "memory-mib: 90", "memory-mib: 80", 1),
		"old":  "revision: 1\n" + strings.Replace(validConfig, "memory-mib: 90", "memory-mib: 70", 1),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	unknown := &feed.OutcomeUnknown{OpID: "x", Err: errors.New("answer lost")}
	unavailable := &feed.Unavailable{Err: errors.New("table is down")}
	for _, step := range []struct {
		args string
		fail []error
		code int
		want string
	}{
		{args: "config check good", want: "^ok: 1 domains, 1 services, 1 endpoints, 1 models"},
		{args: "config check bad", code: ExitRefused, want: `bad:6:28: limits: min-share-tokens: is below zero\n.*bad:6:32: limits: unknown field "slot"`},
		{args: "config check", code: ExitUsage, want: "config check: FILE is missing"},
		{args: "config check none", code: ExitUsage, want: "config check: FILE: open .*none"},
		{args: "config apply --nope good", code: ExitUsage, want: "config apply: flag provided but not defined: --nope"},
		{args: "config diff good", want: `against revision 0:\nput    domain d1`},
		{args: "config apply good", want: `revision 1 is active: 5 put, 0 deleted\nwarning: revision 1 is in the log, but`},
		{args: "config apply good", want: "no difference from revision 1"},
		{args: "config show", want: "(?s)^revision: 1\n.*slot-term: 1h0m0s"},
		{args: "key add k1 desk", want: `added in revision 2\nsecret: tfd-[a-z2-7]{26}\n`},
		{args: "key add k1 desk", code: ExitRefused, want: "key k1 exists already"},
		{args: "key add k2 nobody", code: ExitRefused, want: `key k2: workspace: no workspace "nobody"`},
		{args: "config apply old", code: ExitRefused, want: "from revision 1, but 2 is active"},
		{args: "config apply huge", fail: []error{unavailable}, code: ExitUnavailable, want: "unavailable: .*table is down"},
		{args: "config apply huge", fail: []error{&feed.Conflict{Revision: 9, Author: "eve", Item: spec.Ref{Kind: "model", Name: "m1"}}}, code: ExitRefused, want: "revision 9 by eve changed model m1 first"},
		{args: "config apply huge", fail: []error{unknown, unavailable}, want: "revision 3 is active"},
		{args: "key withdraw k1", fail: []error{unknown, unavailable, unavailable}, code: ExitUnavailable, want: "outcome unknown, repeat with operation id 3-"},
		{args: "key withdraw k1 --op-id", want: "withdrawn in revision 4"},
		{args: "key withdraw k1 --op-id zz", code: ExitUsage, want: `--op-id: "zz" is not an operation id`},
		{args: "status", want: "node n1 in domain d1 is ready\nconfiguration: revision 4"},
		{args: "explain workspace desk", want: "^Workspace desk was within its rate"},
		{args: "explain last soon", code: ExitUsage, want: `"soon" is not a duration`},
		{args: "explain everything now", code: ExitUsage, want: `"everything" is none of`},
		{args: "conf", code: ExitUsage, want: `no command "conf"`},
		{args: "--server http://127.0.0.1:1 status", code: ExitUnavailable, want: "connection refused"},
	} {
		f.fail = step.fail
		args := strings.Fields(step.args)
		for i, a := range args {
			if _, err := os.Stat(filepath.Join(dir, a)); err == nil || a == "none" {
				args[i] = filepath.Join(dir, a)
			}
		}
		if args[len(args)-1] == "--op-id" {
			for id, n := range f.done {
				if n == 4 {
					args = append(args, id)
				}
			}
		}
		if args[0] != "--server" {
			args = append([]string{"--server", server.URL}, args...)
		}
		var out bytes.Buffer
		code := Run(context.Background(), Trefoil(), append([]string{"trefoil"}, args...), &out, &out)
		if code != step.code || !regexp.MustCompile(step.want).MatchString(out.String()) {
			t.Errorf("%s: code %d, want %d, output:\n%swant: %s", step.args, code, step.code, out.String(), step.want)
		}
	}
}
