about  = "The traffic rises in a step, and later many scans ask for the same shard."
length = "45s"
base   = "calm"

fault "traffic" {
  at  = "10s"
  for = "15s"
  size = 1.5
}

fault "hot_key" {
  at  = "15s"
  for = "15s"
  size = 0.3
}

expect "service" {
  least = 0.98
}
