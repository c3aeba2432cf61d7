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
	signals := &brokerSignals{}
	if broker.Used {
		signals = catchBrokerSignals()
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	switch {
	case checkSettings.Used:
		_, err := fmt.Fprintln(out, "the settings are valid")
		return err
	case status.Used:
		return printStatus(s.ListenControl, out)
	}
	return runBroker(s, path, level, signals)
}

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
	go func() {
		<-terminate
		end()
	}()
	return &brokerSignals{terminated: terminated, hangups: catchSignals(1, syscall.SIGHUP)}
}

func runBroker(s *settings.Settings, path, level string, signals *brokerSignals) error {
	logger := &log.Logger{Level: log.ParseLevel(level), Writer: log.IOWriter{Writer: os.Stderr}}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(softMemoryLimit(s.MemoryMB))
	logger.Info().Str("node", s.NodeName).Msg("broker starting")
	broker, err := router.New(s, path, logger, cluster.HostEnvironment())
	if err != nil {
		return err
	}
	go func() {
		for range signals.hangups {
			broker.Reload()
		}
	}()
	return broker.Run(signals.terminated)
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
