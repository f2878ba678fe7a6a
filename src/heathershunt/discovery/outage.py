"""What an outage of the store does to the entries in it."""

# Targets and VMs whose leases ran out write their entries again within about two
# seconds of the return; what is missing later is gone.
REAPPEAR_MS = 2500
