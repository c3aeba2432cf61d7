about  = "All messages from one zone to the others are lost."
length = "45s"
base   = "calm"

fault "one_way_loss" {
  at  = "10s"
  for = "12s"
  zone = "quay"
}

expect "service" {
  least = 0.98
}
