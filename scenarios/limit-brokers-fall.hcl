about = "Brokers that share limits are killed and restart without state, and some are paused past the end of their loans."
base  = "calm"

limit "all" {
  for         = "fleet"
  scans_per_s = 70
  burst       = 30
}

limit "open" {
  for        = "fleet"
  open_scans = 40
}

fault "broker_kill" {
  at    = "8s"
  for   = "2s"
  share = 0.34
}

fault "broker_pause" {
  at    = "16s"
  for   = "2500ms"
  share = 0.34
}

fault "broker_kill" {
  at    = "24s"
  for   = "1s"
  share = 0.67
}

expect "service" {
  least = 0.45
}
