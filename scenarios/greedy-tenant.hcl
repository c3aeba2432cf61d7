about = "One tenant sends three times the total traffic through all brokers; each tenant has a fleet-wide limit."
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
