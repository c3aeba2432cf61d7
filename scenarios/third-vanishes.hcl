about  = "A third of the stores vanish without a sign; the list says so late."
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
