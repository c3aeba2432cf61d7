about  = "One tenant sends twelve times as much traffic as all others together; tenants are confined to cells."
length = "30s"
base   = "calm"

fleet {
  zones   = ["mill", "quay", "hill"]
  cells   = 4
  shards  = 16
  stores  = 24
  brokers = 3
  cold_s  = 10
  kind "new" {
    share = 0.6
    cores = 2
    speed = 1.0
  }
  kind "old" {
    share = 0.4
    cores = 2
    speed = 0.75
  }
}

traffic {
  scans_per_s = 45
  tenants     = 40
  tenant_skew = 0.5
}

cells {
  count      = 6
  holders    = 2
  open_scans = 8
}

fault "abuse" {
  at   = "8s"
  for  = "14s"
  size = 12
}

expect "other_cells" {
  least = 0.85
}
