package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/fake/site"
)

func standSiteCommand() *cli.Command {
	return &cli.Command{
		Name:  "site",
		Usage: "the users' platform: its store with a configuration, engines and plain services",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "config", Usage: "JSON file with the operator's configuration; a sample is used without it"},
			&cli.StringSliceFlag{Name: "domain", Usage: "failure domain of endpoints, several times for more", Value: []string{"north"}},
			&cli.IntFlag{Name: "endpoints", Usage: "endpoints of each service", Value: 2},
			&cli.DurationFlag{Name: "step", Usage: "time for an event of a stream or a plain answer", Value: site.DefaultEventInterval},
			&cli.FloatFlag{Name: "reads", Usage: "reads of the store per second", Value: 2000},
			&cli.FloatFlag{Name: "writes", Usage: "writes to the store per second", Value: 400},
		},
		Before: checkStandArgs,
		Action: runStandSite,
	}
}

func runStandSite(ctx context.Context, c *cli.Command) error {
	if c.Int("endpoints") < 0 || c.Duration("step") < 0 || c.Float("reads") < 0 || c.Float("writes") < 0 {
		return Usagef("endpoints, step, reads and writes must not be negative")
	}
	config, err := siteConfig(c.String("config"))
	if err != nil {
		return err
	}
	s, release, err := site.Start(siteLayout(config, c.StringSlice("domain"), c.Int("endpoints"), site.Layout{
		EventInterval: c.Duration("step"),
		Store: site.StoreOptions{
			Reads:  c.Float("reads"),
			Writes: c.Float("writes"),
		},
	}))
	if err != nil {
		return err
	}
	defer release()
	return serveStandIns(ctx, c, s.Store.Handler(""))
}

// siteLayout returns l with the configuration, the domains and the same number of
// endpoints for each service.
func siteLayout(config site.Config, domains []string, endpoints int, l site.Layout) site.Layout {
	l.Config, l.Domains = config, domains
	l.Endpoints = make(map[string]int, len(config.Services))
	for _, s := range config.Services {
		l.Endpoints[s.Name] = endpoints
	}
	return l
}

func siteConfig(file string) (site.Config, error) {
	if file == "" {
		return site.SampleConfig(), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return site.Config{}, Usagef("--config: %w", err)
	}
	var config site.Config
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode(&config); err != nil {
		return site.Config{}, Usagef("--config: %s: %w", file, err)
	}
	if len(config.Services) == 0 {
		return site.Config{}, Usagef("--config: %s: there are no services", file)
	}
	return config, nil
}

// sampleRequests returns sample requests that show the features of a site.
func sampleRequests(address string, config site.Config) []site.CallerRequest {
	request := func(id, path, method, model string) site.CallerRequest {
		return site.CallerRequest{
			Address:      address,
			ID:           id,
			Host:         config.Routes[0].Host,
			Path:         path,
			Method:       method,
			Key:          config.Tenants[0].Keys[0],
			Model:        model,
			PromptTokens: 200,
			OutputTokens: 160,
		}
	}
	return []site.CallerRequest{
		request("r1", "/notes/1", "POST", "rules"),
		request("r2", "/notes/2", "POST", "coach/a1"),
		request("r3", "/book/lane-7", "POST", ""),
	}
}

func printSite(c *cli.Command, address, metrics string, config site.Config) {
	w := c.Root().Writer
	fmt.Fprintln(w, "One entry process runs on a stand-in of the users' platform. Stream an answer, use an adapter, book a lane:")
	for _, a := range sampleRequests(address, config) {
		fmt.Fprintf(w, "\n  %s\n", a.Curl())
	}
	fmt.Fprintf(w, "\nCounters and histograms:\n\n  curl http://%s/metrics\n\nStop it with Ctrl-C.\n", metrics)
}
