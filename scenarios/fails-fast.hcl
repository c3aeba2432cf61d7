about  = "Some stores fail most of their parts immediately and therefore look idle."
length = "45s"
base   = "calm"

fault "fails" {
  at  = "10s"
  for = "15s"
  share = 0.25
  size = 0.7
}

expect "service" {
  least = 0.92
}
