about = "Brokers that share a limit are partitioned while the traffic exceeds it; later, a third of their messages is lost."
base  = "calm"

limit "all" {
  for         = "fleet"
  scans_per_s = 60
  burst       = 20
}

fault "broker_split" {
  at    = "8s"
  for   = "8s"
  share = 0.34
}

fault "broker_loss" {
  at   = "20s"
  for  = "8s"
  size = 0.33
}

expect "service" {
  least = 0.6
}
