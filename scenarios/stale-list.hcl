about  = "Stores die while the node list is delayed; later, discovery sends no updates during a release."
length = "60s"
base   = "calm"

fault "stale_list" {
  at  = "5s"
  for = "20s"
  size = 5000
}

fault "die" {
  at  = "8s"
  for = "8s"
  share = 0.17
}

fault "release" {
  at  = "30s"
  for = "20s"
  share = 0.5
  size = 0.09
}

fault "silent_discovery" {
  at  = "35s"
  for = "10s"
}

expect "service" {
  least = 0.93
}
