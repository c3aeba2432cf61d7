about = "The stores are overloaded for eight seconds, and brokers that throttle scans must learn that the overload has ended."
base  = "sparse"

sharing {
  notes    = true
  verdicts = true
}

fault "traffic" {
  at    = "8s"
  for   = "8s"
  size  = 8
}


expect "service" {
  least = 0.35
}
