"""The daemon ``heathershuntd``: it composes the slices."""
