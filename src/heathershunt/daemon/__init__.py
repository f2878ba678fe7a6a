"""The daemon ``heathershuntd``, built from the other packages."""
