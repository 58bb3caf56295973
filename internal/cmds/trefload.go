package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/load"
)

// trefloadCommands are the commands of trefload, in the order of the help text.
var trefloadCommands = []func() *cli.Command{
	loadRunCommand,
	loadReportCommand,
	loadOverheadCommand,
	loadCostCommand,
	loadSoakCommand,
}

// Trefload returns the command line of trefload, the program for load tests.
func Trefload() *cli.Command {
	root := &cli.Command{
		Name:  "trefload",
		Usage: "run load scenarios against a fleet in this process, and report on them",
	}
	for _, c := range trefloadCommands {
		root.Commands = append(root.Commands, c())
	}
	return root
}

func loadRunCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run a scenario and write its result, report and plots",
		ArgsUsage: "SCENARIO.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "out",
				Usage: "directory for the result; out/NAME-BASELINE by default",
			},
			&cli.StringFlag{
				Name:  "baseline",
				Usage: "static, lru, random or least-connections instead of the product's own decisions",
			},
			&cli.Int64Flag{
				Name:  "seed",
				Usage: "seed of the arrivals instead of the scenario's",
			},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	args, err := operands(cmd, "SCENARIO.yaml")
	if err != nil {
		return err
	}
	opts := load.Options{
		Baseline: cmd.String("baseline"),
		Progress: cmd.Root().Writer,
	}
	if err := opts.Validate(); err != nil {
		return Usagef("%s: --%w", cmd.FullName(), err)
	}
	if _, err := os.Stat(args[0]); err != nil {
		return Usagef("%s: SCENARIO: %w", cmd.FullName(), err)
	}
	s, err := load.ReadScenario(args[0])
	if err != nil {
		return err
	}
	if cmd.IsSet("seed") {
		s.Seed = cmd.Int64("seed")
	}
	dir := cmd.String("out")
	if dir == "" {
		dir = filepath.Join("out", strings.Trim(s.Name+"-"+opts.Baseline, "-"))
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create result directory: %w", err)
	}
	release, err := logTo(filepath.Join(dir, "fleet.log"))
	if err != nil {
		return err
	}
	defer release()
	res, err := load.Run(ctx, s, opts)
	if err != nil {
		return err
	}
	if err := res.Write(dir); err != nil {
		return err
	}
	if err := load.WriteReport(dir, res); err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s\nThe report is in %s.\n",
		load.Markdown([]*load.Result{res}, nil), filepath.Join(dir, load.ReportFile))
	return nil
}

// logTo redirects the log of the fleet to a file, so that it does not mix with the
// report.
func logTo(name string) (release func(), err error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("create the log file of the fleet: %w", err)
	}
	setLogOutput(f)
	return func() {
		klog.Flush()
		klog.SetOutput(io.Discard)
		_ = f.Close()
	}, nil
}

func setLogOutput(w io.Writer) {
	klog.LogToStderr(false)
	// Without these flags, klog also writes errors to stderr.
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("logtostderr", "false")
	_ = fs.Set("stderrthreshold", "FATAL")
	klog.SetOutput(w)
}

func loadReportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "report on the results in directories; several are compared",
		ArgsUsage: "DIR [DIR...]",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "out",
				Usage: "directory for the report; the first DIR for one, out/comparison for several",
			},
		},
		Action: runLoadReport,
	}
}

func runLoadReport(_ context.Context, cmd *cli.Command) error {
	dirs := cmd.Args().Slice()
	if len(dirs) == 0 {
		return Usagef("%s: DIR is missing", cmd.FullName())
	}
	var all []*load.Result
	for _, d := range dirs {
		res, err := load.Read(d)
		if err != nil {
			return Usagef("%s: %w", cmd.FullName(), err)
		}
		all = append(all, res)
	}
	out := cmd.String("out")
	switch {
	case out != "":
	case len(dirs) == 1:
		out = dirs[0]
	default:
		out = filepath.Join("out", "comparison")
	}
	if err := load.WriteReport(out, all...); err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s\nThe report is in %s.\n", load.Markdown(all, nil), filepath.Join(out, load.ReportFile))
	return nil
}

func loadOverheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure what one entry node adds to the time to the first token",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "rate", Usage: "requests per second through the entry node", Value: 910},
			&cli.FloatFlag{Name: "direct-rate", Usage: "requests per second directly to the engines", Value: 228},
			&cli.DurationFlag{Name: "duration", Usage: "measured time", Value: 20 * time.Second},
			&cli.IntFlag{Name: "engines", Usage: "engines in the fleet", Value: 4},
			&cli.Int64Flag{Name: "tokens", Usage: "tokens of each answer", Value: 8},
			&cli.Int64Flag{Name: "seed", Usage: "seed of the arrivals", Value: 1},
		},
		Action: runLoadOverhead,
	}
}

func runLoadOverhead(ctx context.Context, cmd *cli.Command) error {
	if _, err := operands(cmd); err != nil {
		return err
	}
	opts := load.OverheadOptions{
		Rate:       cmd.Float("rate"),
		DirectRate: cmd.Float("direct-rate"),
		Duration:   cmd.Duration("duration"),
		Engines:    cmd.Int("engines"),
		Tokens:     cmd.Int64("tokens"),
		Seed:       cmd.Int64("seed"),
	}
	if opts.Rate <= 0 || opts.DirectRate <= 0 || opts.Duration <= 0 || opts.Duration > time.Minute || opts.Engines < 1 || opts.Tokens < 1 {
		return Usagef("%s: rates, engines and tokens must be above 0, and the duration at most 1m", cmd.FullName())
	}
	setLogOutput(io.Discard)
	o, err := load.MeasureOverhead(ctx, opts)
	if err != nil {
		return err
	}
	o.Print(cmd.Root().Writer)
	return nil
}
