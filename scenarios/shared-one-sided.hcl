about = "Three brokers of forty get no answer from half of the stores; their trouble stays theirs."
base  = "sparse"

fault "one_sided" {
  at    = "8s"
  for   = "15s"
  share = 0.075
  size  = 0.9
}


expect "worst_10s" {
  least = 0.95
}
