# Features of an installation, beyond the platform's start file: gullstair serve --features deploy/features.hcl
# All of them are off where they are not named. docs/features.md has every key.

# Brokers that may talk to each other divide periodic duties among themselves.
sharing {
  listen = "127.0.0.1:7946" # UDP, as the others reach it

  members = { # all of them, this one too; the same at all
    n1 = "127.0.0.1:7946"
    n2 = "127.0.0.1:7947"
    n3 = "127.0.0.1:7948"
    n4 = "127.0.0.1:7949"
  }

  clock_drift = 0.01 # share by which any clock may run wrong

  key "1" { # the first one seals, all of them open
    secret = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f" # an example: make your own
  }

  duty "probing" { # every store is asked for its load by one broker, and all hear of it
    period = "10s"
  }
}

# The socket that gullstair members and gullstair duties ask.
control {
  socket = "/tmp/gullstair-n1.sock"
}

# Leases that operators hold by hand (gullstair lease run), and votes that outlive a restart.
lease {
  dir = "votes-n1" # beside this file; another one for each broker
}

# A command that one broker of the fleet runs at a time, rather never than twice.
task "compact" {
  at      = "30 3 * * *" # UTC
  run     = ["/usr/local/bin/compact", "--all"]
  term    = "10s"
  timeout = "1h"
}
