package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/conf"
	"trefoildale.example/trefoildale/internal/fake/site"
	"trefoildale.example/trefoildale/internal/proc"
)

// devReadyTimeout is the longest time to wait until the entry process is ready. The
// first coordinator gives its first orders within a second.
const devReadyTimeout = 10 * time.Second

// runDevPlatform runs an entry process with a stand-in of the users' platform.
func runDevPlatform(ctx context.Context, cmd *cli.Command) error {
	config := site.SampleConfig()
	s, release, err := site.Start(siteLayout(config, []string{"local"}, 2, site.Layout{}))
	if err != nil {
		return err
	}
	defer release()
	store, closeStore, err := site.Serve(s.Store.Handler(""))
	if err != nil {
		return err
	}
	defer closeStore()
	set, err := devSettings(cmd.String("listen"), store)
	if err != nil {
		return err
	}
	log := io.Discard
	if cmd.Bool("log") {
		log = cmd.Root().Writer
	}
	p, closeProcess, err := proc.New(set, log)
	if err != nil {
		return err
	}
	defer closeProcess()
	ended := make(chan struct{})
	signals := make(chan os.Signal, 1)
	go func() {
		defer close(ended)
		p.Run(context.WithoutCancel(ctx), signals, func() (*conf.Fleet, error) { return set, nil })
	}()
	defer func() {
		signals <- syscall.SIGTERM
		<-ended
	}()
	if err := waitReady(ctx, "http://"+set.Listen.Ready+"/ready"); err != nil {
		return err
	}
	printSite(cmd, set.Listen.Callers, set.Listen.Metrics, config)
	<-ctx.Done()
	return nil
}

// devSettings returns settings with free ports for all addresses but listen and
// store.
func devSettings(listen, store string) (*conf.Fleet, error) {
	addresses := make([]any, 0, 5)
	addresses = append(addresses, listen)
	for range 3 {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, free)
	}
	text := fmt.Sprintf("node: {name: dev, domain: local}\nlisten: {callers: %q, ready: %q, peers: %q, metrics: %q}\nstore: {address: %q}\n",
		append(addresses, store)...)
	return conf.DecodeFleet("dev", []byte(text))
}

// freeAddress returns a loopback address with a port that is not in use.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

var errNotReady = errors.New("the entry process did not become ready in time; run with --log to see why")

func waitReady(ctx context.Context, url string) error {
	for until := time.Now().Add(devReadyTimeout); time.Now().Before(until); {
		res, err := http.Get(url)
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errNotReady
}
