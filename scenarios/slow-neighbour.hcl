about  = "Another process takes CPU cores from a third of the stores while some stores are slow."
length = "45s"
base   = "calm"

fault "neighbour" {
  at  = "8s"
  for = "20s"
  share = 0.33
  size = 0.6
}

fault "slow" {
  at  = "15s"
  for = "10s"
  share = 0.17
  size = 6
}

expect "service" {
  least = 0.94
}
