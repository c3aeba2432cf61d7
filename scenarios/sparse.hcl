about  = "Forty brokers that each see little traffic share verdicts on stores; there are no faults."
length = "40s"

fleet {
  zones   = ["mill", "quay", "hill"]
  cells   = 4
  shards  = 16
  stores  = 24
  brokers = 40
  cold_s  = 10
  kind "new" {
    share = 0.6
    cores = 2
    speed = 1.0
  }
  kind "old" {
    share = 0.4
    cores = 2
    speed = 0.75
  }
}

table_type "board" {
  share        = 0.65
  parts        = 4
  work_ms      = 20
  target_ms    = 500
  timeout_ms   = 1500
  benefit      = 1
  late_benefit = 0.1
  effect       = "replayable"
}

table_type "fix" {
  share            = 0.25
  parts            = 1
  work_ms          = 20
  target_ms        = 500
  timeout_ms       = 2000
  benefit          = 2
  late_benefit     = 0.3
  effect           = "keyed"
  repeat_window_ms = 2500
}

table_type "report" {
  share        = 0.1
  parts        = 8
  work_ms      = 25
  target_ms    = 1500
  timeout_ms   = 4000
  benefit      = 3
  late_benefit = 0.1
  effect       = "replayable"
  fetch        = 2
}

traffic {
  scans_per_s = 90
}

sharing {
  verdicts = true
}

expect "service" {
  least = 0.99
}
