about  = "Some stores take connections and parts and never answer."
length = "45s"
base   = "calm"

fault "mute" {
  at  = "10s"
  for = "15s"
  share = 0.17
}

expect "service" {
  least = 0.89
}
