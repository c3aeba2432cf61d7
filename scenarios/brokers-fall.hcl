about  = "Brokers are killed and restart with their last node list; later, some are paused."
length = "45s"
base   = "calm"

fault "broker_kill" {
  at  = "10s"
  for = "4s"
  share = 0.34
}

fault "broker_pause" {
  at  = "22s"
  for = "2s"
  share = 0.34
}

expect "service" {
  least = 0.92
}
