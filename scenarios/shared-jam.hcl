about = "More than the stores can bear for eight seconds; it ends, and who turns scans away has to hear of that."
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
