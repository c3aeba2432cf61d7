// Command gullstair is the broker. Run it with -h for its sub-commands.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"gullstair/internal/broker"
	"gullstair/internal/config"
)

const usage = `usage: gullstair [command]

  serve          run one broker (the default); it is told by GW_CONFIG, GW_NAME, GW_LISTEN, GW_DISCOVERY;
                 serve -h lists its flags
  check-config   read and check what serve would be told, say what was found, and exit
  version        print the version
`

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		fmt.Fprintln(os.Stderr, "gullstair:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	name := "serve"
	if len(args) > 0 {
		name, args = args[0], args[1:]
	}
	switch name {
	case "serve":
		return serve(args)
	case "check-config":
		told, err := config.Read(os.Getenv)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: listens on %s, discovery at %s, %d nodes known, %d table types, %d MB, %d sockets\n",
			told.Name, told.Listen, told.Discovery, len(told.Known.Hosts), len(told.Site.Types), told.MemoryMB, told.Sockets)
		return nil
	case "version":
		version := "unknown"
		if info, ok := debug.ReadBuildInfo(); ok {
			version = info.Main.Version + " " + info.GoVersion
		}
		fmt.Fprintln(out, "gullstair", version)
		return nil
	case "-h", "-help", "--help", "help":
		fmt.Fprint(out, usage)
		return nil
	}
	fmt.Fprint(os.Stderr, usage)
	return fmt.Errorf("unknown command %q", name)
}

func serve(args []string) error {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	level := fs.String("log", "info", "least level of the log: debug, info, warn or error")
	patience := fs.Duration("patience", -1, "after SIGTERM, how long open scans may take; below 0: what a planned restart leaves")
	if err := fs.Parse(args); err != nil {
		return err
	}
	lv, err := zerolog.ParseLevel(*level)
	if err != nil {
		return fmt.Errorf("-log: %w", err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).Level(lv).With().Timestamp().Logger()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	// Before anything is read: a SIGHUP that nobody takes ends the process, and with it all that is open. Several
	// in a row may become one, since each reads the file as it is then; during a stop they change nothing.
	renewals := make(chan os.Signal, 1)
	signal.Notify(renewals, syscall.SIGHUP)
	defer signal.Stop(renewals)
	told, err := config.Read(os.Getenv)
	if err != nil {
		return err
	}
	b, err := broker.Start(told, log)
	if err != nil {
		return err
	}
	for {
		select {
		case err := <-b.Fatal():
			return err
		case <-renewals:
			if fresh, err := config.Reread(os.Getenv); err != nil {
				log.Error().Err(err).Msg("the new start file was not taken up")
			} else {
				b.Renew(fresh)
			}
		case <-signals:
			b.Stop(*patience) // further signals change nothing
			return nil
		}
	}
}
