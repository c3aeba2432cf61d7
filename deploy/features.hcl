# Optional features of an installation, in addition to the platform's start file:
#   gullstair serve --features deploy/features.hcl
# A feature without a block here is off. docs/features.md describes every key.

# Brokers that are members of the same fleet divide periodic duties among themselves.
sharing {
  listen = "127.0.0.1:7946" # UDP address at which the other members reach this one

  members = { # all members, including this one; identical at all of them
    n1 = "127.0.0.1:7946"
    n2 = "127.0.0.1:7947"
    n3 = "127.0.0.1:7948"
    n4 = "127.0.0.1:7949"
  }

  clock_drift = 0.01 # maximum relative rate error of any member's clock

  key "1" { # the first key signs, all keys are accepted
    secret = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f" # an example: generate your own
  }

  duty "probing" { # one broker probes each store for its load, and all receive the result
    period = "10s"
  }
}

# The control socket that gullstair members and gullstair duties query.
control {
  socket = "/tmp/gullstair-n1.sock"
}

# Manual leases (gullstair lease run), and votes that survive a restart.
lease {
  dir = "votes-n1" # relative to this file; a separate folder for each broker
}

# A command that at most one broker of the fleet runs at a time: an occurrence may be skipped, but never runs twice.
task "compact" {
  at      = "30 3 * * *" # UTC
  run     = ["/usr/local/bin/compact", "--all"]
  term    = "10s"
  timeout = "1h"
}
