package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/phuslu/log"

	"gullstair/internal/cluster"
	"gullstair/internal/configuration"
	"gullstair/internal/lifecycle"
	"gullstair/internal/logwriter"
	"gullstair/internal/processusage"
	"gullstair/internal/router"
	"gullstair/internal/settings"
)

// fleetCommands lists the subcommands of the router fleet.
var fleetCommands = []string{"broker", "check-settings", "status"}

const checkConfig = "check-config"

const (
	memoryShare   = 0.7 // Soft memory limit as a share of the memory setting; above it the garbage collector runs more often.
	otherMemoryMB = 28  // Least memory outside of that limit: the program itself, and bytes unread in its sockets.
	statusTimeout = 3 * time.Second
	settingsLimit = 5 * time.Second // how long a start waits for settings that can be read
	bytesPerMB    = 1 << 20
)

// isFleetCommand reports whether the command line belongs to the router fleet. check-config with a file argument does;
// without one it checks the start file of serve, as in earlier releases.
func isFleetCommand(args []string) bool {
	if len(args) > 1 && args[0] == checkConfig && !strings.HasPrefix(args[1], "-") {
		return true
	}
	return len(args) > 0 && slices.Contains(fleetCommands, args[0])
}

// runFleet runs one command line of the router fleet.
func runFleet(args []string, out io.Writer) error {
	path := os.Getenv(settings.EnvironmentVariable)
	var document, address string
	level := "info"
	parser := flaggy.NewParser("gullstair")
	parser.Description = "A router fleet with an index of cached prompts."
	parser.ShowVersionWithVersionFlag = false
	parser.String(&path, "s", "settings", "The settings file (default: $"+settings.EnvironmentVariable+").")
	broker := flaggy.NewSubcommand("broker")
	broker.Description = "Run one broker of the fleet."
	broker.String(&level, "l", "log-level", "Minimum log level: debug, info, warn, error.")
	checkSettings := flaggy.NewSubcommand("check-settings")
	checkSettings.Description = "Read and check the settings file."
	checkConfiguration := flaggy.NewSubcommand(checkConfig)
	checkConfiguration.Description = "Read and check an operator configuration."
	checkConfiguration.AddPositionalValue(&document, "file", 1, true, "The configuration, as JSON.")
	status := flaggy.NewSubcommand("status")
	status.Description = "Print a running broker's view of the fleet, as JSON."
	status.AddPositionalValue(&address, "address", 1, false, "The broker's control address (default: from the settings).")
	for _, command := range []*flaggy.Subcommand{broker, checkSettings, checkConfiguration, status} {
		parser.AttachSubcommand(command, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	switch {
	case checkConfiguration.Used:
		return checkConfigurationFile(document, out)
	case status.Used && address != "":
		return printStatus(address, out)
	}
	if path == "" {
		_, err := settings.Path()
		return err
	}
	if broker.Used {
		return runBroker(path, level)
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	if status.Used {
		return printStatus(s.ListenControl, out)
	}
	_, err = fmt.Fprintln(out, "the settings are valid")
	return err
}

// hostEnvironment returns the network and the disk of this machine. Tests replace it.
var hostEnvironment = cluster.HostEnvironment

// brokerSignals holds the signals that an operator can send to a broker.
type brokerSignals struct {
	terminated context.Context // canceled by SIGTERM or SIGINT
	hangups    <-chan os.Signal
}

// catchBrokerSignals starts catching the signals. It runs before anything else, since the default action of each ends
// the process.
func catchBrokerSignals() *brokerSignals {
	terminated, end := context.WithCancel(context.Background())
	terminate := catchSignals(1, syscall.SIGTERM, syscall.SIGINT)
	lifecycle.Go(func() {
		<-terminate
		end()
	})
	return &brokerSignals{terminated: terminated, hangups: catchSignals(1, syscall.SIGHUP)}
}

// runBroker runs one broker until it is told to end, and writes the last line of its log.
func runBroker(path, level string) error {
	signals := catchBrokerSignals()
	output := logwriter.New(os.Stderr)
	logger := &log.Logger{Level: log.ParseLevel(level), Writer: log.IOWriter{Writer: output}}
	lifecycle.ReportPanics(logger)
	defer lifecycle.ReportPanic()
	failure := serveBroker(path, logger, signals)
	output.AwaitReader()
	if status := lifecycle.End(logger, failure); status != lifecycle.StatusEnded {
		return exitCode(status)
	}
	return nil
}

func serveBroker(path string, logger *log.Logger, signals *brokerSignals) *lifecycle.Failure {
	s, failure := awaitSettings(signals.terminated, path, logger)
	if failure != nil {
		return failure
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(softMemoryLimit(s.MemoryMB))
	logger.Info().Str("node", s.NodeName).Strs("seeds", s.Seeds).Bool("bootstrap", s.Bootstrap).Str("data_dir", s.DataDir).Msg("broker starting")
	broker, failure := router.New(signals.terminated, s, path, logger, hostEnvironment())
	if failure != nil {
		return failure
	}
	lifecycle.Go(func() { processusage.Watch(signals.terminated, s.MemoryMB, logger) })
	lifecycle.Go(func() {
		for range signals.hangups {
			broker.Reload()
		}
	})
	return broker.Run(signals.terminated)
}

// awaitSettings reads the settings file. Whoever writes it may not be done yet.
func awaitSettings(ctx context.Context, path string, logger *log.Logger) (s *settings.Settings, failure *lifecycle.Failure) {
	wait := lifecycle.Wait{Step: lifecycle.Settings, Limit: settingsLimit, Passes: func(error) bool { return true }, Logger: logger}
	failure = wait.Until(ctx, func() (err error) {
		s, err = settings.Load(path)
		return err
	})
	return s, failure
}

// softMemoryLimit returns the soft memory limit in bytes. It is at least half of the memory setting.
func softMemoryLimit(memoryMB int) int64 {
	limitMB := min(float64(memoryMB)*memoryShare, float64(memoryMB-otherMemoryMB))
	return int64(max(limitMB, float64(memoryMB)/2) * bytesPerMB)
}

func checkConfigurationFile(path string, out io.Writer) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the configuration")
	}
	c, err := configuration.Parse(raw)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "version %d is valid: %d routes, %d services\n", c.Version, len(c.Routes), len(c.Services))
	return err
}

func printStatus(address string, out io.Writer) error {
	client := &http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + address + "/v1/status")
	if err != nil {
		return errors.Wrap(err, "query the broker")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the broker answered %s", response.Status)
	}
	_, err = io.Copy(out, response.Body)
	return err
}
