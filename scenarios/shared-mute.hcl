about = "A tenth of the stores takes parts and answers none; each of forty brokers sees one of them seldom."
base  = "sparse"

fault "mute" {
  at    = "8s"
  for   = "15s"
  share = 0.1
}


expect "worst_10s" {
  least = 0.9
}
