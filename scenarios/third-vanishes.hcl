about  = "A third of the stores become unreachable without closing connections, and the node list shows it late."
length = "45s"
base   = "calm"

fault "vanish" {
  at  = "10s"
  for = "12s"
  share = 0.33
}

expect "service" {
  least = 0.9
}
