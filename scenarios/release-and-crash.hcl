about  = "Stores die while a rolling release has other stores out of service."
length = "60s"
base   = "calm"

fault "release" {
  at  = "8s"
  for = "40s"
  share = 0.8
  size = 0.09
}

fault "die" {
  at  = "22s"
  for = "8s"
  share = 0.2
}

expect "service" {
  least = 0.94
}
