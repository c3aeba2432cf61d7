about  = "In a large fleet a third of the stores die, then one-sided loss begins, then the traffic rises in a step."
length = "40s"
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

fault "die" {
  at  = "8s"
  for = "10s"
  share = 0.33
}

fault "one_sided" {
  at  = "15s"
  for = "12s"
  share = 0.3
  size = 0.7
}

fault "traffic" {
  at  = "20s"
  for = "10s"
  size = 1.3
}

expect "service" {
  least = 0.82
}
