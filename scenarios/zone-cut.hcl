about  = "All messages between one zone and the others are lost."
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
