about  = "A third of the brokers lose most answers from half of the stores, which serve the other brokers normally."
length = "45s"
base   = "calm"

fleet {
  zones   = ["mill", "quay", "hill"]
  cells   = 20
  shards  = 80
  stores  = 60
  brokers = 18
  cold_s  = 15
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

traffic {
  scans_per_s = 430
}

fault "one_sided" {
  at  = "10s"
  for = "20s"
  share = 0.35
  size = 0.8
}

expect "service" {
  least = 0.9
}
