"""What the cases share: the site, its store's doors, and runners that crash."""
