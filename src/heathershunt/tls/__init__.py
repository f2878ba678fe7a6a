"""TLS contexts of the listeners and the peer links, with reloadable certificates."""

from heathershunt.tls.contexts import TlsContexts, TlsError

__all__ = ["TlsContexts", "TlsError"]
