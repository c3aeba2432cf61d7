about = "A quarter of the stores fail half of their parts while a third of the messages between brokers is lost."
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
