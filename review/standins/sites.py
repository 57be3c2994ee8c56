"""The two sites, with the figures of the operators' pages, at a small size."""

VOLTASWAP = {
    "zones": ["giza-east"],
    "teams": [{"name": f"station-ops-{n:02}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 40.0,
               "gpus_max": 120.0} for n in range(8)],
    "workers": {"report_s": 1.0, "lease_s": 11.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0,
                "cancel_s": 36.0},
    "state": {"rps": 70.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 8},
    "cloud": {"rps": 6.0, "list_lag_s": 10.0},
    "quota": {"core_share": 0.08, "mem_mb": 40.0, "fd_limit": 600},
    "type": {"Label": "nile64", "Cores": 64.0, "Gpus": 8.0, "MemoryGb": 384.0, "LocalGb": 400.0,
             "PullGbPerS": 4.6, "Hourly": 19.76, "LowPrice": 5.56, "ReadyS": 60.0,
             "Yards": ["giza-east"]},
    "back_s": 5.0,
}

JADELEAF = {
    "zones": ["neihu-hall"],
    "teams": [{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
              for name in ("jade-core", "lotus-ops", "harbor-rx", "peak-care")],
    "workers": {"report_s": 1.0, "lease_s": 11.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0,
                "cancel_s": 36.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 24},
    "cloud": {"rps": 8.0, "list_lag_s": 3.0},
    "quota": {"core_share": 0.064, "mem_mb": 40.0, "fd_limit": 500},
    "type": {"Label": "formosa64", "Cores": 64.0, "Gpus": 8.0, "MemoryGb": 256.0,
             "LocalGb": 800.0, "PullGbPerS": 2.3, "Hourly": 23.18, "LowPrice": 7.47,
             "ReadyS": 45.0, "Yards": ["neihu-hall"]},
    "back_s": 4.0,
}
