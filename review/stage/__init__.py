"""Stand-ins for the users' platform, for the cases under `review/`, and the harness that runs them."""
