about = "A sixth of the stores alternate between failing and working every two seconds."
base  = "sparse"

fault "fails" {
  at    = "8s"
  for   = "2s"
  stores = ["s-0001", "s-0006", "s-0011", "s-0016"]
  size   = 1
}


fault "fails" {
  at    = "12s"
  for   = "2s"
  stores = ["s-0001", "s-0006", "s-0011", "s-0016"]
  size   = 1
}


fault "fails" {
  at    = "16s"
  for   = "2s"
  stores = ["s-0001", "s-0006", "s-0011", "s-0016"]
  size   = 1
}


fault "fails" {
  at    = "20s"
  for   = "2s"
  stores = ["s-0001", "s-0006", "s-0011", "s-0016"]
  size   = 1
}


fault "fails" {
  at    = "24s"
  for   = "2s"
  stores = ["s-0001", "s-0006", "s-0011", "s-0016"]
  size   = 1
}


expect "worst_10s" {
  least = 0.85
}
