about  = "Some stores accept connections and parts but never answer."
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
