about  = "Some stores reset connections, and some send answers that can't be read."
length = "45s"
base   = "calm"

fault "resets" {
  at  = "8s"
  for = "20s"
  share = 0.25
  size = 0.2
}

fault "spoils" {
  at  = "15s"
  for = "15s"
  share = 0.25
  size = 0.2
}

expect "service" {
  least = 0.98
}
