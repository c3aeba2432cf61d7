about = "One tenant asks for three times as much as all together, at all brokers; each tenant has a limit in the whole fleet."
base  = "calm"

traffic {
  scans_per_s = 90
  tenants     = 20
  tenant_skew = 0.3
}

limit "tenant" {
  for         = "tenant"
  scans_per_s = 15
  burst       = 10
}

fault "abuse" {
  at   = "8s"
  for  = "14s"
  size = 3
}

expect "worst_tenant" {
  least = 0.85
}
