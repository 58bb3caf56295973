package cmds

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/model"
)

func standEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "engine for language models",
		Flags: []cli.Flag{
			listenFlag(),
			countFlag(),
			&cli.StringFlag{Name: "name", Usage: "name of the engine", Value: "engine"},
			&cli.Int64Flag{Name: "memory-mib", Usage: "memory for models and adapters", Value: 81_920},
			&cli.FloatFlag{Name: "speed", Usage: "generated tokens per second, all requests together", Value: 1000},
			&cli.FloatFlag{Name: "stream-speed", Usage: "generated tokens per second of one request", Value: 100},
			&cli.FloatFlag{Name: "prefill-speed", Usage: "prompt tokens per second; 20 times the speed if 0"},
			&cli.IntFlag{Name: "max-running", Usage: "requests in the batch", Value: 64},
			&cli.FloatFlag{Name: "min-answer", Usage: "smallest part of max_tokens that an answer has", Value: 1},
			&cli.BoolFlag{Name: "fencing", Usage: "refuse orders with a stale fencing token"},
			&cli.BoolFlag{Name: "deadlines", Usage: "refuse orders after their deadline"},
			&cli.BoolFlag{Name: "check-memory", Usage: "refuse orders that do not fit, instead of counting an overcommit"},
			&cli.StringFlag{Name: "weights", Usage: "base URL of the weight store"},
			&cli.StringSliceFlag{Name: "resident", Usage: "MODEL,VERSION,MIB in memory from the start; repeatable"},
			&cli.Int64Flag{Name: "cache-tokens", Usage: "size of the prompt-prefix cache", Value: 65_536},
			&cli.DurationFlag{Name: "cache-lag", Usage: "how late cache events are"},
			&cli.Int64Flag{Name: "cache-gap", Usage: "lose every Nth cache event; none if 0"},
			&cli.DurationFlag{Name: "report-lag", Usage: "age that a load report can reach"},
			&cli.DurationFlag{Name: "adapter-min", Usage: "shortest adapter load", Value: 5 * time.Millisecond},
			&cli.DurationFlag{Name: "adapter-max", Usage: "longest adapter load", Value: 10 * time.Millisecond},
			&cli.IntFlag{Name: "adapter-parallel", Usage: "adapter loads at once before they slow down", Value: 16},
		},
		// The value of --resident contains commas.
		DisableSliceFlagSeparator: true,
		Before:                    checkStandArgs,
		Action:                    runStandEngine,
	}
}

func runStandEngine(ctx context.Context, c *cli.Command) error {
	var resident []engine.Resident
	for _, text := range c.StringSlice("resident") {
		r, err := parseResident(text)
		if err != nil {
			return Usagef("%s: %w", c.FullName(), err)
		}
		resident = append(resident, r)
	}
	opts := model.Options{
		MemoryMiB:       c.Int64("memory-mib"),
		Speed:           c.Float("speed"),
		StreamSpeed:     c.Float("stream-speed"),
		PrefillSpeed:    c.Float("prefill-speed"),
		MaxRunning:      c.Int("max-running"),
		MinAnswer:       c.Float("min-answer"),
		Fencing:         c.Bool("fencing"),
		Deadlines:       c.Bool("deadlines"),
		CheckMemory:     c.Bool("check-memory"),
		Weights:         strings.TrimSuffix(c.String("weights"), "/"),
		Resident:        resident,
		CacheTokens:     c.Int64("cache-tokens"),
		CacheLag:        c.Duration("cache-lag"),
		CacheGap:        c.Int64("cache-gap"),
		ReportLag:       c.Duration("report-lag"),
		AdapterMin:      c.Duration("adapter-min"),
		AdapterMax:      c.Duration("adapter-max"),
		AdapterParallel: c.Int("adapter-parallel"),
	}
	if err := opts.Validate(); err != nil {
		return Usagef("%w", err)
	}
	handlers := make([]http.Handler, c.Int("count"))
	for i := range handlers {
		opts.Name = numberedName(c.String("name"), i, len(handlers))
		e, release := model.New(opts)
		defer release()
		handlers[i] = e.Handler()
	}
	return serveStandIns(ctx, c, handlers...)
}

func parseResident(text string) (engine.Resident, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 || parts[0] == "" {
		return engine.Resident{}, fmt.Errorf("resident %q: want MODEL,VERSION,MIB", text)
	}
	mib, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || mib < 1 {
		return engine.Resident{}, fmt.Errorf("resident %q: MIB must be a number above 0", text)
	}
	return engine.Resident{
		Model:     parts[0],
		Version:   parts[1],
		MemoryMiB: mib,
	}, nil
}
