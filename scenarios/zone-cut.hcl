about  = "One zone and the others hear nothing of each other."
length = "45s"
base   = "calm"

fault "zone_cut" {
  at  = "10s"
  for = "12s"
  zone = "quay"
}

expect "service" {
  least = 0.98
}
