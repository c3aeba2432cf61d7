about = "A tenth of the stores accept parts but never answer; each of forty brokers rarely uses any one of them."
base  = "sparse"

fault "mute" {
  at    = "8s"
  for   = "15s"
  share = 0.1
}


expect "worst_10s" {
  least = 0.9
}
