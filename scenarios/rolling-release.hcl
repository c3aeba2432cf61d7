about  = "All stores are replaced in batches by cold successors under new names."
length = "60s"
base   = "calm"

fault "release" {
  at  = "8s"
  for = "40s"
  share = 1
  size = 0.09
}

expect "service" {
  least = 0.98
}
