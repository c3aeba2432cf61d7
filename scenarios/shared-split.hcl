about = "Brokers are partitioned while stores fail on both sides, and the partition heals while the stores still fail."
base  = "sparse"

fault "fails" {
  at    = "8s"
  for   = "20s"
  share = 0.1
  size  = 1
}


fault "broker_split" {
  at    = "10s"
  for   = "10s"
  share = 0.4
}


expect "worst_10s" {
  least = 0.9
}
