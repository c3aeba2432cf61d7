about = "A quarter of the stores fails half of its parts, while a third of what brokers tell each other is lost."
base  = "sparse"

fault "fails" {
  at    = "8s"
  for   = "15s"
  share = 0.25
  size  = 0.5
}


fault "broker_loss" {
  at    = "8s"
  for   = "20s"
  size  = 0.33
}


expect "worst_10s" {
  least = 0.9
}
