about  = "A short example: two brokers and twelve stores, a third of which die for three seconds."
length = "10s"
base   = "calm"

fleet {
  zones   = ["mill", "quay", "hill"]
  cells   = 4
  shards  = 16
  stores  = 12
  brokers = 2
  cold_s  = 3
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

fault "die" {
  at  = "3s"
  for = "3s"
  share = 0.33
}

expect "service" {
  least = 0.9
}
