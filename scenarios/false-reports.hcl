about  = "Load reports are wrong and then no longer updated, which must not affect the service."
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
