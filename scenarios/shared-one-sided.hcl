about = "Three of forty brokers lose most answers from half of the stores, which must not affect the other brokers."
base  = "sparse"

fault "one_sided" {
  at    = "8s"
  for   = "15s"
  share = 0.075
  size  = 0.9
}


expect "worst_10s" {
  least = 0.95
}
