about  = "Load reports lie, then freeze; nobody should mind."
length = "45s"
base   = "calm"

fault "lies" {
  at  = "8s"
  for = "15s"
  share = 0.5
  size = 5
}

fault "frozen" {
  at  = "20s"
  for = "15s"
  share = 0.5
}

expect "service" {
  least = 0.98
}
