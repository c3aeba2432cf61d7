about  = "A third of the stores die at once, leave the node list immediately, and restart cold."
length = "45s"
base   = "calm"

fault "die" {
  at  = "10s"
  for = "12s"
  share = 0.33
}

expect "service" {
  least = 0.91
}
