about = "Two thirds of the stores are slow at once, and not all of them may be ejected."
base  = "sparse"

fault "slow" {
  at    = "8s"
  for   = "12s"
  share = 0.67
  size  = 4
}


expect "worst_10s" {
  least = 0.5
}
