package main

import (
	"errors"
	"os"
	"syscall"
	"time"

	"gullstair/internal/broker"
	"gullstair/internal/config"
	"gullstair/internal/features"
	"gullstair/internal/guard"
)

type serveCmd struct {
	Log      string        `default:"info" help:"Minimum log level: debug, info, warn or error."`
	Patience time.Duration `default:"-1ns" help:"How long open scans may take after SIGTERM; below 0: the time that a planned restart leaves."`
	Features string        `help:"Features document, such as deploy/features.hcl; without it all optional features are off." type:"path"`
}

// clocks returns the machine's clocks; tests replace it.
var clocks = broker.MachineClocks

// readFeatures reads the features document at path; it returns nil if path is empty.
func readFeatures(path, self string) (*features.Document, error) {
	if path == "" {
		return nil, nil
	}
	return features.Read(path, self)
}

func (c *serveCmd) Run() error {
	log, err := logger(c.Log)
	if err != nil {
		return err
	}
	signals := catchSignals(4, syscall.SIGTERM, os.Interrupt)
	// Signals are caught before anything is read: an uncaught SIGHUP ends the process and all open requests with it. Several
	// SIGHUPs in a row may merge into one, since each reads the file as it is at that time; during a shutdown they change
	// nothing.
	reloads := catchSignals(1, syscall.SIGHUP)
	cfg, err := config.Read(os.Getenv)
	if err != nil {
		return err
	}
	f, err := readFeatures(c.Features, cfg.Name)
	if err != nil {
		return err
	}
	if f != nil && len(f.Tasks) > 0 {
		if err := guard.BecomeReaper(); err != nil {
			return err
		}
	}
	end, finished := make(chan struct{}), make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-signals: // further signals change nothing
			close(end)
		case <-finished:
		}
	}()
	b, err := broker.StartBy(clocks(), end, cfg, f, log)
	if errors.Is(err, broker.ErrAbandoned) {
		log.Info().Msg(err.Error())
		return nil
	}
	if err != nil {
		return err
	}
	for {
		select {
		case err := <-b.Fatal():
			return err
		case <-reloads:
			// Both files are read before either is applied, so that a faulty start file prevents both.
			newConfig, err := config.Reread(os.Getenv)
			if err != nil {
				log.Error().Err(err).Msg("the new start file was not taken up")
				continue
			}
			f, err := readFeatures(c.Features, cfg.Name)
			if err != nil {
				log.Error().Err(err).Msg("the new features document was not applied")
				continue
			}
			b.ApplyStartFile(newConfig)
			if f != nil {
				if err := b.ApplyFeatures(f); err != nil {
					log.Error().Err(err).Msg("the new features document was not applied")
				}
			}
		case <-end:
			b.Stop(c.Patience)
			return nil
		}
	}
}
