about = "A third of the stores are replaced within seven seconds by cold successors under new names, and one in eight of the remaining stores fails."
base  = "sparse"

fault "release" {
  at    = "8s"
  for   = "7s"
  share = 0.33
  size  = 0.08
}


fault "fails" {
  at    = "9s"
  for   = "12s"
  share = 0.12
  size  = 1
}


expect "worst_10s" {
  least = 0.8
}
