package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"trefoildale.example/trefoildale/internal/fake/host"
)

// standStopTimeout is the longest time that a stand-in waits for running requests when it
// stops.
const standStopTimeout = 5 * time.Second

func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "listen",
		Value: "127.0.0.1:0",
		Usage: "address to listen on; port 0 picks a free port",
	}
}

// countFlag lets one process run several stand-ins of the same kind, because a fleet
// can have many of them.
func countFlag() cli.Flag {
	return &cli.IntFlag{
		Name:  "count",
		Value: 1,
		Usage: "number of instances; ports and names are numbered upwards from the given ones",
	}
}

// numberedName returns the name of stand-in i of count. The name gets a number only
// if there are several.
func numberedName(name string, i, count int) string {
	if count == 1 {
		return name
	}
	return name + "-" + strconv.Itoa(i+1)
}

// serveStandIns serves stand-ins until the process gets a signal to stop. It first
// prints their addresses, one per line.
func serveStandIns(ctx context.Context, c *cli.Command, handlers ...http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listeners, err := listenAll(c.String("listen"), len(handlers))
	if err != nil {
		return err
	}
	for _, l := range listeners {
		fmt.Fprintf(c.Root().Writer, "listening %s\n", l.Addr())
	}
	group, ctx := errgroup.WithContext(ctx)
	for i, h := range handlers {
		srv := host.NewServer(h)
		group.Go(func() error {
			if err := srv.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			return stopServer(srv)
		})
	}
	return group.Wait()
}

func stopServer(srv *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), standStopTimeout)
	defer cancel()
	err := srv.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return srv.Close()
	}
	return err
}

// listenAll listens on n ports: on free ones if the port is 0, or on consecutive
// ports that start at the given one.
func listenAll(address string, n int) ([]net.Listener, error) {
	host, service, err := net.SplitHostPort(address)
	if err != nil {
		return nil, Usagef("%w", err)
	}
	port, err := strconv.Atoi(service)
	if err != nil || port < 0 || port+n-1 > 65_535 {
		return nil, Usagef("address %s: ports must be between 0 and 65535", address)
	}
	listeners := make([]net.Listener, 0, n)
	for i := range n {
		next := port
		if port > 0 {
			next += i
		}
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(next)))
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// checkStandArgs returns a usage error for arguments, because no stand-in takes any,
// and for a negative count.
func checkStandArgs(ctx context.Context, c *cli.Command) (context.Context, error) {
	if c.Args().Present() {
		return ctx, Usagef("unexpected argument %q", c.Args().First())
	}
	if c.Int("count") < 0 {
		return ctx, Usagef("count must not be negative")
	}
	return ctx, nil
}
