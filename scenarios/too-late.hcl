about  = "Some stores answer only after their broker has stopped waiting."
length = "45s"
base   = "calm"

fault "late" {
  at  = "10s"
  for = "15s"
  share = 0.17
}

expect "service" {
  least = 0.89
}
